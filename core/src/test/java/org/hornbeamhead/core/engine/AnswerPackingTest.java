package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.OptionalInt;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AnswerPackingTest {
    @DataProvider
    public Object[][] engines() {
        return new Object[][] {
            {64, 500, 12, 300.0},
            {24, 500, 12, 300.0},
            {12, 400, 9, 240.0},
            {1, 0, 1, 300.0},
        };
    }

    /** Guards against engines that are packed with more answers than they have slots. */
    @Test(dataProvider = "engines")
    public void packingFollowsSlotsAndGapTarget(int slots, long gapMillis, int answers, double harmlessMillis) {
        AnswerPacking packing = AnswerPacking.of(slots, gapMillis);
        assertEquals(packing.answersPerEngine(), answers);
        assertEquals(packing.harmlessMillis(), harmlessMillis);
    }

    @DataProvider
    public Object[][] prompts() {
        return new Object[][] {
            {9_190, 204, OptionalInt.of(20), false},
            {9_190, 204, OptionalInt.empty(), false},
            {9_190, 954, OptionalInt.of(400), true},
            {826, 954, OptionalInt.of(100), true},
            {826, 954, OptionalInt.empty(), true},
            {826, 954, OptionalInt.of(9), false},
        };
    }

    /** Guards against long prompts that count as long answers because of the maximum that their callers state. */
    @Test(dataProvider = "prompts")
    public void kindFollowsTheExpectedLength(int promptTokens, int maxTokens, OptionalInt expected, boolean decoding) {
        Prompt prompt = new Prompt("m", List.of(new PromptPart("own", promptTokens)), maxTokens, expected);
        assertEquals(prompt.isMostlyDecoding(), decoding);
    }
}
