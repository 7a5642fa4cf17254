package org.hornbeamhead.core.engine;

/** The priority of the most urgent long answers of the last seconds, as one router has seen them. */
final class RecentAnswerPriority {
    /** Answers last a few seconds at most; those that began earlier are over. */
    private static final long LIFE_MILLIS = 5_000;

    private int priority = Integer.MAX_VALUE;
    private long at = Long.MIN_VALUE / 2;

    /** Records a long answer that is about to be placed. */
    void record(int answerPriority, long nowMillis) {
        if (answerPriority <= priority || isOutdated(nowMillis)) {
            priority = answerPriority;
            at = nowMillis;
        }
    }

    /** Returns whether all long answers of the last seconds are less urgent than a request; true if there were none. */
    boolean isBelow(int requestPriority, long nowMillis) {
        return isOutdated(nowMillis) || requestPriority < priority;
    }

    private boolean isOutdated(long nowMillis) {
        return nowMillis - at > LIFE_MILLIS;
    }
}
