package org.hornbeamhead.bench;

import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;

/** Runs a measurement and prints its table. The first argument says which. */
public final class BenchMain {
    private static final long SEED = 1;
    private static final int[] FLEETS = {8, 40, 150, 305, 610};
    private static final int[] CLAIM_RATES = {100, 500, 1_000, 2_000, 4_000};

    private BenchMain() {}

    /**
     * Runs a measurement.
     *
     * @param args its name, and for some the seed
     * @throws IOException when the decisions' benchmark cannot start
     */
    public static void main(String[] args) throws IOException {
        String name = args.length == 0 ? "" : args[0];
        switch (name) {
            case "policy" -> policies(args.length > 1 ? Long.parseLong(args[1]) : SEED);
            case "gossip" -> gossip();
            case "claims" -> claims();
            case "memory" -> memory();
            case "decisions" -> org.openjdk.jmh.Main.main(decisions(args));
            default -> {
                System.err.println("usage: bench policy [SEED] | gossip | claims | memory | decisions [ONE]");
                System.exit(2);
            }
        }
    }

    private static String[] decisions(String... args) {
        String which = args.length > 1 ? args[1] : "";
        return new String[] {"PlacementBenchmark." + which, "-prof", "gc"};
    }

    private static void policies(long seed) {
        System.out.println(PolicyResult.HEAD);
        for (PolicyScenario scenario : scenarios()) {
            for (PolicyKind kind : PolicyKind.ALL) {
                System.out.println(new PolicyBench(scenario, kind, seed).run().render(scenario.name()));
            }
        }
    }

    private static void gossip() {
        System.out.println(GossipResult.HEAD);
        // The first run only warms the machine up.
        new GossipBench(FLEETS[1], SEED).run();
        IntStream.of(FLEETS)
                .forEach(n -> System.out.println(new GossipBench(n, SEED).run().render()));
    }

    private static void claims() {
        System.out.println(ClaimBench.head());
        new ClaimBench().run(CLAIM_RATES[1]);
        IntStream.of(CLAIM_RATES).forEach(n -> System.out.println(new ClaimBench().run(n)));
    }

    private static void memory() {
        System.out.println("| replicas | prompts sent to each | levels kept | KB of heap |\n|---|---|---|---|");
        for (int replicas : new int[] {8, 64, 512, 1_375, 11_000}) {
            System.out.println(MemoryBench.replicas(replicas, 100));
        }
        System.out.println(MemoryBench.replicas(64, 10_000));
        System.out.println();
        System.out.println("| customers | KB of text | KB of heap | ms to read |\n|---|---|---|---|");
        for (int customers : new int[] {8, 64, 235, 470, 940}) {
            System.out.println(MemoryBench.config(customers));
        }
    }

    private static List<PolicyScenario> scenarios() {
        return List.of(
                PolicyScenario.bangkok("calm, 40/s", 40, false),
                PolicyScenario.bangkok("80/s", 80, false),
                PolicyScenario.bangkok("160/s", 160, false),
                PolicyScenario.bangkok("240/s", 240, false),
                PolicyScenario.bangkok("80/s, one lost", 80, true),
                PolicyScenario.lisbon("calm, 20/s", 20, false),
                PolicyScenario.lisbon("40/s", 40, false),
                PolicyScenario.lisbon("80/s", 80, false),
                PolicyScenario.lisbon("120/s", 120, false),
                PolicyScenario.lisbon("40/s, one lost", 40, true));
    }
}
