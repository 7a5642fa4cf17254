package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Engines that run few requests at once, under a load that fills some of them. */
public class EngineSlotsTest {
    private static final int SLOTS = 24;
    private static final int ROUTERS = 18;
    private static final long SIMULATED_MILLIS = 6_000;
    private static final int SEEDS = 2;
    private static final EngineSimulation.Workload LONG_PROMPTS =
            new EngineSimulation.Workload("long prompts", 167, 6_300, 1_042, 2_890, 13, 1.4, 808);
    private static final EngineSimulation.Workload LONG_ANSWERS =
            new EngineSimulation.Workload("long answers", 160, 198, 660, 628, 73, 0.69, 503);
    /** Retries that the operators allow, as a share of the requests; other faults need most of them. */
    private static final double RETRY_BUDGET = 0.2;

    /**
     * Number of engines left of 56, the maximum share of requests that engines reject, and the minimum share of long
     * answers on time.
     */
    @DataProvider
    public Object[][] engines() {
        return new Object[][] {{56, RETRY_BUDGET / 20, 0.9}, {40, RETRY_BUDGET / 4, 0.8}, {28, RETRY_BUDGET, 0.6}};
    }

    /**
     * An engine runs 24 requests at once, queues a few and rejects the rest. Guards against sending requests to full
     * engines: they are rejected and started again elsewhere, late, while other engines have free slots. Shares of all
     * requests that are rejected, without and with a cost for missing slots: with 40 of 56 engines 0.14 and 0.03, with
     * long answers on time 0.76 and 0.89; with 28 engines 0.29 and 0.12, with long answers on time 0.51 and 0.76.
     */
    @Test(dataProvider = "engines")
    public void fullEnginesGetNoRequests(int engines, double maxRejected, double minOnTime) {
        List<Map<String, EngineSimulation.Results>> runs = LongStream.rangeClosed(1, SEEDS)
                .mapToObj(
                        seed -> new EngineSimulation(engines, SLOTS, ROUTERS, List.of(LONG_PROMPTS, LONG_ANSWERS), seed)
                                .run(SIMULATED_MILLIS))
                .toList();
        double rejected = mean(runs, results -> results.rejectedByEngine()) / mean(runs, results -> results.requests());
        double onTime = runs.stream()
                .mapToDouble(run -> run.get(LONG_ANSWERS.name()).onTimeShare())
                .average()
                .orElseThrow();
        assertTrue(rejected <= maxRejected, "rejected share: " + rejected + " " + runs);
        assertTrue(onTime >= minOnTime, "long answers on time: " + onTime + " " + runs);
    }

    private static double mean(
            List<Map<String, EngineSimulation.Results>> runs, ToIntFunction<EngineSimulation.Results> counter) {
        return runs.stream()
                .flatMap(run -> run.values().stream())
                .mapToInt(counter)
                .average()
                .orElseThrow();
    }
}
