package org.hornbeamhead.standin.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.hornbeamhead.core.settings.Durations;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.ExitCode;
import org.hornbeamhead.daemon.Json;

/** The load tool's command line. */
public final class LoadMain {
    private LoadMain() {}

    /**
     * Runs a load.
     *
     * @param args the options
     * @return failed when an answer came that no rule allows
     */
    public static ExitCode run(String... args) {
        OptionParser parser = new OptionParser();
        OptionSpec<String> workload = parser.accepts("workload", "bangkok or lisbon")
                .withRequiredArg()
                .defaultsTo("bangkok");
        OptionSpec<String> entries = parser.accepts("entries", "entry hosts, separated by commas")
                .withRequiredArg()
                .defaultsTo("");
        OptionSpec<String> duration = parser.accepts("duration", "how long requests are sent")
                .withRequiredArg()
                .defaultsTo("10 s");
        OptionSpec<Double> rate = parser.accepts("rate", "requests a second")
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(20.0);
        OptionSpec<Long> seed = parser.accepts("seed", "decides all draws")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1L);
        OptionSpec<Long> live = parser.accepts("live-ms", "how long an unused prefix counts as live")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(20_000L);
        OptionSpec<Void> json = parser.accepts("json", "print JSON");
        OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
        try {
            OptionSet options = parser.parse(args);
            if (options.has(help) || options.valueOf(entries).isEmpty()) {
                System.out.println("usage: hornbeam-load --entries ADDRESS[,ADDRESS] [OPTIONS]");
                parser.printHelpOn(System.out);
                return options.has(help) ? ExitCode.OK : ExitCode.USAGE;
            }
            List<String> addresses = Arrays.asList(options.valueOf(entries).split(",", -1));
            return send(
                    Workload.named(options.valueOf(workload)),
                    new LoadOptions(
                            addresses,
                            Durations.parse(options.valueOf(duration))
                                    .getOrElseThrow((String why) -> new IllegalArgumentException(why)),
                            options.valueOf(rate),
                            options.valueOf(seed),
                            options.valueOf(live),
                            options.has(json)));
        } catch (OptionException | IllegalArgumentException | IOException e) {
            System.err.println("hornbeam-load: " + e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private static ExitCode send(Workload workload, LoadOptions options) {
        Daemon daemon = new Daemon();
        LoadRunner runner = new LoadRunner(daemon, workload, options);
        runner.start();
        daemon.run();
        List<LoadRow> rows = runner.rows();
        print(workload, options, runner, rows);
        boolean broken = rows.stream().anyMatch(r -> r.broken() > 0);
        return broken || rows.isEmpty() ? ExitCode.FAILED : ExitCode.OK;
    }

    private static void print(Workload workload, LoadOptions options, LoadRunner runner, List<LoadRow> rows) {
        long recomputed = rows.stream()
                .filter(r -> r.group().equals("total"))
                .mapToLong(LoadRow::recomputedTokens)
                .sum();
        double ratio = runner.boundTokens() == 0 ? 0 : (double) recomputed / runner.boundTokens();
        if (options.json()) {
            ObjectNode result = Json.object();
            result.put("workload", workload.name());
            result.put("seed", options.seed());
            result.put("bound_tokens", runner.boundTokens());
            result.put("recomputed_to_bound", ratio);
            result.putPOJO("rows", rows);
            System.out.println(Json.write(result));
            return;
        }
        System.out.printf(
                "workload %s, seed %d, %.0f requests/s%n", workload.name(), options.seed(), options.ratePerSecond());
        System.out.println(LoadRow.HEAD);
        rows.forEach(r -> System.out.println(r.render()));
        System.out.printf(
                "recomputed %d prompt tokens; %d had to be (each live prefix once); ratio %.2f%n",
                recomputed, runner.boundTokens(), ratio);
    }
}
