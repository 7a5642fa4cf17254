package org.hornbeamhead.standin.load;

/**
 * A row of a load's result.
 *
 * @param group the class or customer
 * @param sent requests sent
 * @param completed requests with a whole answer
 * @param notRun requests refused as not run
 * @param unknown requests whose outcome is not known
 * @param broken answers that no rule allows
 * @param hitRate the share of prompt tokens that was cached
 * @param recomputedTokens prompt tokens computed
 * @param firstTokenP50 median time to the first token, in milliseconds
 * @param firstTokenP95 95th percentile of it
 * @param firstTokenP99 99th percentile of it
 * @param betweenP95 95th percentile of the time between tokens, in milliseconds
 */
public record LoadRow(
        String group,
        long sent,
        long completed,
        long notRun,
        long unknown,
        long broken,
        double hitRate,
        long recomputedTokens,
        long firstTokenP50,
        long firstTokenP95,
        long firstTokenP99,
        long betweenP95) {
    /** The head of the table that {@link #render} fills. */
    public static final String HEAD = String.format(
            "%-22s %7s %7s %7s %7s %6s %6s %10s %6s %6s %6s %7s",
            "GROUP", "SENT", "DONE", "NOTRUN", "UNKNOWN", "BROKEN", "HIT", "RECOMPUTED", "P50", "P95", "P99", "GAP95");

    /**
     * Renders the row.
     *
     * @return one line under {@link #HEAD}; times in milliseconds
     */
    public String render() {
        return String.format(
                "%-22s %7d %7d %7d %7d %6d %6.3f %10d %6d %6d %6d %7d",
                group,
                sent,
                completed,
                notRun,
                unknown,
                broken,
                hitRate,
                recomputedTokens,
                firstTokenP50,
                firstTokenP95,
                firstTokenP99,
                betweenP95);
    }
}
