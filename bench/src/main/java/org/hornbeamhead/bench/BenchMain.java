package org.hornbeamhead.bench;

import java.util.List;

/** Runs a measurement and prints its table. The first argument says which. */
public final class BenchMain {
    private static final long SEED = 1;

    private BenchMain() {}

    /**
     * Runs a measurement.
     *
     * @param args its name, and for some its size
     */
    public static void main(String[] args) {
        String name = args.length == 0 ? "" : args[0];
        switch (name) {
            case "policy" -> policies(args.length > 1 ? Long.parseLong(args[1]) : SEED);
            default -> {
                System.err.println("usage: bench policy [SEED]");
                System.exit(2);
            }
        }
    }

    private static void policies(long seed) {
        System.out.println(PolicyResult.HEAD);
        for (PolicyScenario scenario : scenarios()) {
            for (PolicyKind kind : PolicyKind.ALL) {
                System.out.println(new PolicyBench(scenario, kind, seed).run().render(scenario.name()));
            }
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
