package org.hornbeamhead.router;

import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Program;

/** The router daemon's entry point. */
public final class RouterMain {
    private RouterMain() {}

    /**
     * Runs a router.
     *
     * @param args the command line; see {@code --help}
     */
    public static void main(String[] args) {
        Logs.configure();
        Program<RouterSettings> program = new Program<>(
                "hornbeam-router", "serves callers on an entry host", RouterSettings::read, settings -> new Router(
                                settings)
                        .run());
        System.exit(program.run(args).code());
    }
}
