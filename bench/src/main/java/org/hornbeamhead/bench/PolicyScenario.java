package org.hornbeamhead.bench;

import java.util.List;
import java.util.Map;
import org.hornbeamhead.standin.load.Workload;

/**
 * A load on a fleet.
 *
 * @param name the name in the table
 * @param workload the shape of the requests
 * @param replicas how many engines
 * @param routers how many routers
 * @param ratePerSecond requests a second
 * @param millis how long requests arrive
 * @param targets the first token's target by class, in milliseconds
 * @param batchClasses the classes that wait for slack
 * @param batchMillis how long a batch request may wait
 * @param loseOne whether a replica is lost half-way
 */
record PolicyScenario(
        String name,
        Workload workload,
        int replicas,
        int routers,
        double ratePerSecond,
        long millis,
        Map<String, Double> targets,
        List<String> batchClasses,
        long batchMillis,
        boolean loseOne) {
    private static final long MILLIS = 60_000;
    private static final long BATCH_MILLIS = 90_000;

    /** The first fleet's size of today. */
    static PolicyScenario bangkok(String name, double rate, boolean loseOne) {
        return new PolicyScenario(
                "bangkok " + name,
                Workload.BANGKOK,
                8,
                8,
                rate,
                MILLIS,
                Map.of("counter", 400.0, "summary", 800.0),
                List.of("review"),
                BATCH_MILLIS,
                loseOne);
    }

    /** The second fleet's size of today. */
    static PolicyScenario lisbon(String name, double rate, boolean loseOne) {
        return new PolicyScenario(
                "lisbon " + name,
                Workload.LISBON,
                6,
                7,
                rate,
                MILLIS,
                Map.of("draft", 500.0, "verdict", 3_000.0),
                List.of("overnight"),
                BATCH_MILLIS,
                loseOne);
    }

    double tightestMillis() {
        return targets.values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
    }
}
