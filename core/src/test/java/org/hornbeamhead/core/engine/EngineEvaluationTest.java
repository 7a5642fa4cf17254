package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the evaluations of engines explain their choice and change nothing. */
public class EngineEvaluationTest {
    private static final long NOW = 100_000;
    /** Later than the time for which a restarted router assumes that the store holds the prefixes in use. */
    private static final long LATER = NOW + 16_000;

    private static final KvTransferLinks LINKS =
            new KvTransferLinks(400, List.of(new KvTransferLinks.Store("store", "z", 175)));

    private static Prompt prompt(int maxOutputTokens) {
        return new Prompt("m", List.of(new PromptPart("a", 6_300), new PromptPart("b", 2_890)), maxOutputTokens);
    }

    /** Every third engine is busy; of the others, every second one changes its weights or can hardly use them. */
    private static List<EngineCandidate> engines(int count, boolean changing, long usableMillis) {
        return IntStream.range(0, count)
                .mapToObj(i -> {
                    EngineLoad load = new EngineLoad();
                    IntStream.range(0, i % 3 == 0 ? 4 : 0).forEach(r -> load.recordSent("r" + r, 80, 9_000, true, NOW));
                    boolean hindered = i % 2 == 0;
                    return new EngineCandidate(
                            "e" + i,
                            "z",
                            1,
                            true,
                            load,
                            92_000,
                            12,
                            false,
                            hindered ? usableMillis : Long.MAX_VALUE,
                            changing && hindered);
                })
                .toList();
    }

    private static Optional<EngineChoice> choose(
            EngineChooser chooser, RequestLevel level, int maxOutputTokens, List<EngineCandidate> engines, long now) {
        return chooser.choose(prompt(maxOutputTokens), level, c -> 0, engines, LINKS, now);
    }

    private static List<EngineEvaluation> evaluate(
            EngineChooser chooser, RequestLevel level, int maxOutputTokens, List<EngineCandidate> engines, long now) {
        return chooser.evaluations(prompt(maxOutputTokens), level, c -> 0, engines, LINKS, now);
    }

    /** Every situation at the uniform level, and at mixed ones that accept all, few or no engines. */
    @DataProvider
    public Object[][] situations() {
        return Stream.of(RequestLevel.UNIFORM, mixed(Long.MAX_VALUE), mixed(600), mixed(1))
                .flatMap(level -> Stream.of(engineSituations()).map(s -> new Object[] {level, s[0], s[1]}))
                .toArray(Object[][]::new);
    }

    private static RequestLevel mixed(long targetMillis) {
        return new RequestLevel(true, 1, targetMillis, 60, 20_000);
    }

    private static Object[][] engineSituations() {
        return new Object[][] {
            {9, engines(0, false, Long.MAX_VALUE)},
            {9, engines(8, false, Long.MAX_VALUE)},
            {9, engines(8, true, Long.MAX_VALUE)},
            {9, engines(40, false, Long.MAX_VALUE)},
            {9, engines(40, true, Long.MAX_VALUE)},
            {9, engines(40, false, 1)},
            {9, engines(1, false, 1)},
            {954, engines(40, false, Long.MAX_VALUE)},
            {954, engines(40, true, Long.MAX_VALUE)},
            {954, engines(40, true, 1)},
        };
    }

    /** Guards against an explanation that names another engine than the request would get. */
    @Test(dataProvider = "situations")
    public void firstEngineWithoutExclusionIsChosen(
            RequestLevel level, int maxOutputTokens, List<EngineCandidate> engines) {
        EngineChooser chooser = new EngineChooser(true);
        for (int i = 0; i < 3; i++) {
            List<EngineEvaluation> evaluations = evaluate(chooser, level, maxOutputTokens, engines, NOW);
            Optional<EngineChoice> choice = choose(chooser, level, maxOutputTokens, engines, NOW);
            assertEquals(evaluations.size(), engines.size());
            assertEquals(
                    evaluations.stream()
                            .filter(e -> e.exclusion().isEmpty())
                            .findFirst()
                            .map(EngineEvaluation::choice),
                    choice);
            choice.ifPresent(c -> chooser.recordSent(c.prefixHash(), c.engine().id(), 0, LINKS, 0, NOW));
        }
    }

    /** Guards against explanations that change later choices, or one another. */
    @Test(dataProvider = "situations")
    public void evaluationsChangeNothing(RequestLevel level, int maxOutputTokens, List<EngineCandidate> engines) {
        EngineChooser explained = new EngineChooser(true);
        List<EngineEvaluation> first = evaluate(explained, level, maxOutputTokens, engines, NOW);
        assertEquals(evaluate(explained, level, maxOutputTokens, engines, NOW), first);
        assertEquals(
                choose(explained, level, maxOutputTokens, engines, LATER),
                choose(new EngineChooser(true), level, maxOutputTokens, engines, LATER));
    }
}
