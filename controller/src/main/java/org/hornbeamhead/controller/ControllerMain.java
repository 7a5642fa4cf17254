package org.hornbeamhead.controller;

import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Program;

/** The controller daemon's entry point. */
public final class ControllerMain {
    private ControllerMain() {}

    /**
     * Runs a controller.
     *
     * @param args the command line; see {@code --help}
     */
    public static void main(String[] args) {
        Logs.configure();
        Program<ControllerSettings> program = new Program<>(
                "hornbeam-controller",
                "orders engines into the state that the operators state",
                ControllerSettings::read,
                settings -> new Controller(settings).run());
        System.exit(program.run(args).code());
    }
}
