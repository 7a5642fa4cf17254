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
    private static final long PLAYED_MILLIS = 6_000;
    private static final int SEEDS = 2;
    private static final EnginePlay.Kind LONG_PROMPTS =
            new EnginePlay.Kind("long prompts", 167, 6_300, 1_042, 2_890, 13, 1.4, 808);
    private static final EnginePlay.Kind LONG_ANSWERS =
            new EnginePlay.Kind("long answers", 160, 198, 660, 628, 73, 0.69, 503);
    /** Repeats that the operators allow, as a part of the requests; other faults need most of them. */
    private static final double BUDGET = 0.2;

    /**
     * Engines that are left of 56, the most requests that may be turned away as a part of all, and the least part of
     * long answers on time.
     */
    @DataProvider
    public Object[][] engines() {
        return new Object[][] {{56, BUDGET / 20, 0.9}, {40, BUDGET / 4, 0.8}, {28, BUDGET, 0.6}};
    }

    /**
     * An engine runs 24 requests at once, lets a few wait and turns away the rest. Callers' requests are turned away by
     * full engines and begun again elsewhere, late, while other engines have slots to spare. Measured without a look at
     * the slots and with it: with 40 of 56 engines 0.14 and 0.03 of all turned away, long answers on time 0.76 and
     * 0.89; with 28 0.29 and 0.12, 0.51 and 0.76.
     */
    @Test(dataProvider = "engines")
    public void fullEnginesGetNoMore(int engines, double mostTurnedAway, double leastOnTime) {
        List<Map<String, EnginePlay.Served>> plays = LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new EnginePlay(engines, SLOTS, ROUTERS, List.of(LONG_PROMPTS, LONG_ANSWERS), seed)
                        .play(PLAYED_MILLIS))
                .toList();
        double turnedAway = mean(plays, s -> s.turnedAway()) / mean(plays, s -> s.asked());
        double onTime = plays.stream()
                .mapToDouble(p -> p.get(LONG_ANSWERS.name()).onTimePart())
                .average()
                .orElseThrow();
        assertTrue(turnedAway <= mostTurnedAway, "turned away: " + turnedAway + " " + plays);
        assertTrue(onTime >= leastOnTime, "long answers on time: " + onTime + " " + plays);
    }

    private static double mean(List<Map<String, EnginePlay.Served>> plays, ToIntFunction<EnginePlay.Served> count) {
        return plays.stream()
                .flatMap(p -> p.values().stream())
                .mapToInt(count)
                .average()
                .orElseThrow();
    }
}
