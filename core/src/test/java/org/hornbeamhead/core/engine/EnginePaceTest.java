package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

public class EnginePaceTest {
    private static final Prompt PROMPT =
            new Prompt("m", List.of(new PromptPart("shared", 6_300), new PromptPart("own", 2_890)), 9);
    private static final KvTransferLinks LINKS = new KvTransferLinks(1, List.of());

    private static EngineCandidate engine(String id, double pace) {
        EngineLoad load = new EngineLoad();
        load.recordHint(100, 0);
        return new EngineCandidate(id, "z", 1, true, load, 94_000, 12, false, Long.MAX_VALUE, false, pace);
    }

    private static EngineChoice choose(double homePace) {
        return new EngineChooser(false)
                .choose(
                        PROMPT,
                        c -> 0,
                        Stream.of("e0", "e1")
                                .map(id -> engine(id, id.equals(home()) ? homePace : 1))
                                .toList(),
                        LINKS,
                        0)
                .orElseThrow();
    }

    private static String home() {
        return new EngineChooser(false)
                .choose(PROMPT, c -> 0, List.of(engine("e0", 1), engine("e1", 1)), LINKS, 0)
                .orElseThrow()
                .engine()
                .id();
    }

    /** Guards against a slow engine that keeps its prompts, and against a prefill time that is multiplied twice. */
    @Test
    public void slowEngineIsAvoidedAndPrefillIsRecordedUnscaled() {
        assertNotEquals(choose(2.5).engine().id(), home());
        EngineChoice usual = choose(1);
        EngineChoice slower = choose(1.01);
        assertEquals(slower.engine().id(), usual.engine().id());
        assertEquals(slower.waitMillis(), usual.waitMillis() * 1.01, 1e-6);
        assertEquals(slower.prefillMillis(), usual.prefillMillis(), 1e-6);
    }
}
