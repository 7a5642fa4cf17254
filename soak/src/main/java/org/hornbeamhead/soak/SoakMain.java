package org.hornbeamhead.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeoutException;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.hornbeamhead.daemon.ExitCode;

/** The command line of the soak: runs seeds, one after the other, and shows what broke. */
public final class SoakMain {
    private static final long SEEDS = 1_000_000;

    private final OptionParser parser = new OptionParser();
    private final OptionSpec<Long> seed = parser.accepts("seed", "the first seed; drawn when absent")
            .withRequiredArg()
            .ofType(Long.class);
    private final OptionSpec<Integer> runs = number("runs", "how many seeds, one after the other", 1);
    private final OptionSpec<Integer> seconds = number("seconds", "for how long faults begin in each run", 30);
    private final OptionSpec<Integer> routers = number("routers", "router processes", 4);
    private final OptionSpec<Integer> replicas = number("replicas", "replicas", 12);
    private final OptionSpec<Integer> callers = number("callers", "callers", 16);
    private final OptionSpec<Integer> crashing = number(
            "crashing",
            "callers whose requests end each replica that runs them; from the third on by a part of their prompts",
            1);
    private final OptionSpec<Integer> limiting = number("limiting", "replicas that state a request limit", 2);
    private final OptionSpec<Integer> announcing =
            number("announcing", "replicas at a time that leave by their answers or ask for pauses", 1);
    private final OptionSpec<Integer> lostPaths =
            number("lost-paths", "how often a router loses its path to all replicas", 2);
    private final OptionSpec<Integer> pausing = number(
            "pausing", "sound replicas at a time that are silent for up to two seconds and go on, over and over", 1);
    private final OptionSpec<Integer> brittle =
            number("brittle", "1: the replicas of one service at a time are brittle; 0: none are", 1);
    private final OptionSpec<Integer> endless =
            number("endless", "replicas at a time that send bytes without end instead of answers", 1);
    private final OptionSpec<Integer> resuming = number(
            "resuming", "callers that resume streams, while engines of two software versions are rolled; 0: none", 2);
    private final OptionSpec<Integer> handovers =
            number("handovers", "how often leaders of the rollout of weights end one after the other", 0);
    private final OptionSpec<Integer> releases =
            number("releases", "how often engines of a new software version join while routers are out of step", 0);
    private final OptionSpec<String> json =
            parser.accepts("json", "file for the results, a JSON line a run").withRequiredArg();

    private SoakMain() {
        parser.accepts("help", "shows this").forHelp();
    }

    private OptionSpec<Integer> number(String name, String what, int usual) {
        return parser.accepts(name, what)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(usual);
    }

    /**
     * Runs seeds.
     *
     * @param args see {@code --help}
     * @throws IOException when the results cannot be written
     */
    public static void main(String[] args) throws IOException {
        System.exit(new SoakMain().run(args, System.out).code());
    }

    private ExitCode run(String[] args, PrintStream out) throws IOException {
        OptionSet options;
        try {
            options = parser.parse(args);
        } catch (OptionException e) {
            out.println(e.getMessage());
            return ExitCode.USAGE;
        }
        if (options.has("help")) {
            parser.printHelpOn(out);
            return ExitCode.OK;
        }
        long first = options.has(seed)
                ? options.valueOf(seed)
                : ThreadLocalRandom.current().nextLong(SEEDS);
        boolean kept = true;
        for (int i = 0; i < options.valueOf(runs); i++) {
            kept &= play(options, first + i, out);
        }
        return kept ? ExitCode.OK : ExitCode.FAILED;
    }

    private boolean play(OptionSet options, long runSeed, PrintStream out) throws IOException {
        SoakSettings settings = new SoakSettings(
                runSeed,
                options.valueOf(seconds),
                options.valueOf(routers),
                options.valueOf(replicas),
                options.valueOf(callers),
                options.valueOf(crashing),
                options.valueOf(limiting),
                options.valueOf(announcing),
                options.valueOf(lostPaths),
                options.valueOf(pausing),
                options.valueOf(brittle) > 0,
                options.valueOf(endless),
                options.valueOf(resuming),
                options.valueOf(handovers),
                options.valueOf(releases));
        Path directory = Files.createTempDirectory("hornbeam-soak-" + runSeed + "-");
        try {
            SoakReport report = new SoakRun(settings, directory).play();
            out.print(report.page());
            if (options.has(json)) {
                Files.writeString(
                        Path.of(options.valueOf(json)),
                        report.json() + "\n",
                        java.nio.file.StandardOpenOption.CREATE,
                        java.nio.file.StandardOpenOption.APPEND);
            }
            if (!report.breaches().isEmpty()) {
                out.println("  logs of the routers: " + directory);
            }
            return report.breaches().isEmpty();
        } catch (InterruptedException | TimeoutException e) {
            out.println("seed " + runSeed + ": the run did not come to its end: " + e.getMessage());
            return false;
        }
    }
}
