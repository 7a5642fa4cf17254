package org.hornbeamhead.core.engine;

/**
 * How densely long answers share engines, and how much prefill they bear beside them.
 *
 * @param answersPerEngine long answers per preferred engine; a step with as many takes a twentieth longer than with one
 * @param windowMillis the time within which an event is on time; prefill work in this window delays it
 * @param harmlessMillis prefill work per window that delays no answer
 * @param rangeMillis every event is late with this much more prefill work
 */
record AnswerPacking(int answersPerEngine, long windowMillis, double harmlessMillis, double rangeMillis) {
    private static final int MAX_ANSWERS = 12;
    /** Share of an engine's slots; the others are left to the prompts that follow the engine's cached prefixes. */
    private static final double MAX_SLOT_SHARE = 0.75;

    private static final long COMMON_WINDOW_MILLIS = 500;
    /** Of six steps of 95 ms within 500 ms, four leave two short ones. */
    private static final double HARMLESS_SHARE = 0.6;

    private static final double RANGE_SHARE = 0.5;

    /** The packing where gap targets and slots are not regarded. */
    static final AnswerPacking COMMON = forWindow(MAX_ANSWERS, COMMON_WINDOW_MILLIS);

    AnswerPacking {
        if (answersPerEngine < 1 || windowMillis < 1) {
            throw new IllegalArgumentException("an engine must have room for an answer, but the packing is "
                    + answersPerEngine + " answers and " + windowMillis + " ms");
        }
    }

    private static AnswerPacking forWindow(int answers, long millis) {
        return new AnswerPacking(answers, millis, millis * HARMLESS_SHARE, millis * RANGE_SHARE);
    }

    /**
     * Returns the packing for the engines and the streams of a service.
     *
     * @param slots the requests that an engine runs at once
     * @param gapMillis the shortest target for the gap between two events, in milliseconds; 0 if there is none
     * @return the packing
     */
    static AnswerPacking of(int slots, long gapMillis) {
        int answers = (int) Math.max(1, Math.min(MAX_ANSWERS, slots * MAX_SLOT_SHARE));
        return forWindow(answers, gapMillis > 0 ? gapMillis : COMMON_WINDOW_MILLIS);
    }
}
