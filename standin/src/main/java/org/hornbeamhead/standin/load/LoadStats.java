package org.hornbeamhead.standin.load;

import org.HdrHistogram.Histogram;

/** What one group of requests came to. */
final class LoadStats {
    private static final long HIGHEST_MILLIS = 600_000;
    private static final int DIGITS = 3;

    private final Histogram firstToken = new Histogram(HIGHEST_MILLIS, DIGITS);
    private final Histogram between = new Histogram(HIGHEST_MILLIS, DIGITS);
    private long sent;
    private long completed;
    private long notRun;
    private long unknown;
    private long broken;
    private long promptTokens;
    private long cachedTokens;

    void sent() {
        sent++;
    }

    void firstToken(long millis) {
        firstToken.recordValue(Math.min(HIGHEST_MILLIS, millis));
    }

    void between(long millis) {
        between.recordValue(Math.min(HIGHEST_MILLIS, millis));
    }

    void completed() {
        completed++;
    }

    void notRun() {
        notRun++;
    }

    void unknown() {
        unknown++;
    }

    /** An answer came that no rule allows: cut without a word, or wrong in its text. */
    void broken() {
        broken++;
    }

    void tokens(long prompt, long cached) {
        promptTokens += prompt;
        cachedTokens += cached;
    }

    LoadRow row(String group) {
        return new LoadRow(
                group,
                sent,
                completed,
                notRun,
                unknown,
                broken,
                promptTokens == 0 ? 0 : (double) cachedTokens / promptTokens,
                promptTokens - cachedTokens,
                firstToken.getValueAtPercentile(50),
                firstToken.getValueAtPercentile(95),
                firstToken.getValueAtPercentile(99),
                between.getValueAtPercentile(95));
    }
}
