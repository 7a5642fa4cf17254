package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Long prompts with short answers and short prompts with long answers on the same engines. */
public class EngineMixTest {
    private static final EngineSimulation.Workload LONG_PROMPTS =
            new EngineSimulation.Workload("long prompts", 26, 6_300, 160, 2_890, 9, 1.4, 800);
    private static final EngineSimulation.Workload LONG_ANSWERS =
            new EngineSimulation.Workload("long answers", 40, 198, 160, 628, 49, 0.69, 500);
    private static final int ROUTERS = 8;
    private static final long BURST_MILLIS = 2_000;
    private static final double BURST_FACTOR = 1.5;
    private static final long SIMULATED_MILLIS = 8_000;
    private static final long MIXED_MILLIS = 4_000;

    /**
     * Number of engines, factor of the small load, and the minimum shares of long answers and of long prompts on time.
     */
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {8, 1.0, 0.95, 0.80},
            {6, 1.0, 0.90, 0.65},
            {5, 1.0, 0.83, 0.55},
            {4, 1.0, 0.83, 0.40},
            {31, 5.25, 0.92, 0.55},
        };
    }

    /**
     * Guards against answers whose first event is on time and whose pauses make them late. New weights have emptied all
     * caches and some engines are lost, so that the others prefill long prompts without a break, and each such step
     * delays every answer beside it. The slower the answers, the more of them run and the more engines they share.
     * Shares of long answers on time over four seeds, without a maximum number of engines for them and with it: eight
     * engines 0.85 and 0.98, six 0.66 and 0.94, five 0.58 and 0.86, four 0.40 and 0.88, 31 of 42 with their load 0.50
     * and 0.93.
     */
    @Test(dataProvider = "loads")
    public void prefillDoesNotDelayLongAnswers(int engines, double factor, double minAnswers, double minPrompts) {
        EngineSimulation.Workload promptLoad = scaled(LONG_PROMPTS, factor);
        EngineSimulation.Workload answerLoad = scaled(LONG_ANSWERS, factor);
        List<Map<String, EngineSimulation.Results>> runs = LongStream.rangeClosed(1, 4)
                .mapToObj(seed -> new EngineSimulation(engines, ROUTERS, List.of(promptLoad, answerLoad), seed)
                        .runAfterBurst(BURST_MILLIS, BURST_FACTOR, SIMULATED_MILLIS))
                .toList();
        assertOnTime(runs, answerLoad, minAnswers);
        assertOnTime(runs, promptLoad, minPrompts);
    }

    @DataProvider
    public Object[][] hintDelays() {
        return new Object[][] {{30, true}, {120, false}};
    }

    /**
     * Guards against long prompts that meet at the engines of long answers since routers learn too late of one
     * another's requests: eight routers carry 93 long prompts and 246 long answers a second, and a quarter of 42
     * engines is lost.
     */
    @Test(dataProvider = "hintDelays")
    public void longAnswersAreOnTimeIfRoutersHearOfOneAnotherSoon(int hintDelayMillis, boolean onTime) {
        EngineSimulation.Workload prompts =
                new EngineSimulation.Workload("long prompts", 93, 6_300, 801, 2_890, 7, 1.4, 800);
        EngineSimulation.Workload answers =
                new EngineSimulation.Workload("long answers", 246, 198, 1_223, 628, 42, 0.69, 500);
        double share = LongStream.rangeClosed(1, 3)
                .mapToObj(seed -> new EngineSimulation(31, ROUTERS, List.of(prompts, answers), seed)
                        .withHintDelay(hintDelayMillis)
                        .runAfterBurst(BURST_MILLIS, BURST_FACTOR, SIMULATED_MILLIS))
                .mapToDouble(run -> run.get(answers.name()).onTimeShare())
                .average()
                .orElse(0);
        assertEquals(share >= 0.92, onTime, "long answers on time: " + share);
    }

    private static final EngineSimulation.EngineFigures SMALL_ENGINES =
            new EngineSimulation.EngineFigures(12, 2_048, 5.18, 0.0367, 6, 400, 0.15);
    private static final EngineSimulation.StatedLengths MAXIMA = new EngineSimulation.StatedLengths(204, 954, false);
    private static final EngineSimulation.StatedLengths HINTS = new EngineSimulation.StatedLengths(204, 954, true);

    /**
     * Guards against engines that stand idle while requests are late, since callers state the same large maximum for
     * all answers and placement packs every request onto the first engines: 98 engines of 12 slots whose machines are
     * noisy, with empty caches, a third above their usual load. Both kinds gain by the hints, and each has at least
     * half of its requests on time.
     */
    @Test
    public void lengthHintsBringBothKindsOnTime() {
        EngineSimulation.Workload prompts =
                new EngineSimulation.Workload("long prompts", 285, 6_300, 2_624, 2_890, 9, 1.6, 606, 1);
        EngineSimulation.Workload answers =
                new EngineSimulation.Workload("long answers", 186, 198, 1_146, 628, 49, 1.2, 403, 0);
        Map<String, EngineSimulation.Results> packed = mixedRun(98, SMALL_ENGINES, prompts, answers, MAXIMA, false);
        Map<String, EngineSimulation.Results> told = mixedRun(98, SMALL_ENGINES, prompts, answers, HINTS, true);
        List.of(prompts, answers).forEach(workload -> {
            double before = packed.get(workload.name()).onTimeShare();
            double share = told.get(workload.name()).onTimeShare();
            assertTrue(share > before && share >= 0.5, workload.name() + " on time: " + before + ", " + share);
        });
    }

    private static Map<String, EngineSimulation.Results> mixedRun(
            int engines,
            EngineSimulation.EngineFigures figures,
            EngineSimulation.Workload prompts,
            EngineSimulation.Workload answers,
            EngineSimulation.StatedLengths lengths,
            boolean mixed) {
        return new EngineSimulation(engines, figures, ROUTERS, List.of(prompts, answers), 1)
                .withLengths(lengths, mixed)
                .run(MIXED_MILLIS);
    }

    private static final EngineSimulation.EngineFigures UNEVEN_LOAD_ENGINES =
            new EngineSimulation.EngineFigures(24, 2_048, 5.05, 0.0164, 6, 500, 0);

    /**
     * Guards against urgent long prompts that are refused for the sake of less urgent answers: a burst of answers of
     * priority 2 at 2.6 times their usual rate beside long prompts of priority 0.
     */
    @Test
    public void urgentPromptsAreNotRefusedForLessUrgentAnswers() {
        EngineSimulation.Workload prompts =
                new EngineSimulation.Workload("long prompts", 91, 6_300, 1_505, 2_890, 9, 1.4, 515, 0);
        EngineSimulation.Workload answers =
                new EngineSimulation.Workload("long answers", 540, 198, 1_976, 628, 49, 0.69, 1_507, 2);
        EngineSimulation.Workload equal = new EngineSimulation.Workload(
                answers.name(), 540, 198, 1_976, 628, 49, 0.69, 1_507, prompts.priority());
        double refused = refusedShare(
                mixedRun(63, UNEVEN_LOAD_ENGINES, prompts, answers, HINTS, true).get(prompts.name()));
        double refusedIfEqual = refusedShare(
                mixedRun(63, UNEVEN_LOAD_ENGINES, prompts, equal, HINTS, true).get(prompts.name()));
        assertTrue(refused <= refusedIfEqual && refused < 0.05, "refused: " + refused + ", " + refusedIfEqual);
    }

    private static double refusedShare(EngineSimulation.Results results) {
        return (double) (results.rejectedByRouter() + results.rejectedByEngine()) / results.requests();
    }

    private static EngineSimulation.Workload scaled(EngineSimulation.Workload workload, double factor) {
        return new EngineSimulation.Workload(
                workload.name(),
                workload.requestsPerSecond() * factor,
                workload.sharedTokens(),
                (int) (workload.dossiers() * factor),
                workload.ownTokens(),
                workload.meanOutput(),
                workload.outputSigma(),
                workload.targetMillis());
    }

    private static void assertOnTime(
            List<Map<String, EngineSimulation.Results>> runs, EngineSimulation.Workload workload, double minShare) {
        double share = runs.stream()
                .mapToDouble(run -> run.get(workload.name()).onTimeShare())
                .average()
                .orElse(0);
        assertTrue(share >= minShare, workload.name() + " on time: " + share + " " + runs);
    }
}
