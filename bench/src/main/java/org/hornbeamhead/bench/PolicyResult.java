package org.hornbeamhead.bench;

/**
 * What one policy came to in one scenario.
 *
 * @param policy the policy
 * @param sent requests that arrived
 * @param done requests with a whole answer
 * @param refused requests refused at the door
 * @param hitRate the share of prompt tokens that was cached
 * @param toBound recomputed tokens as a multiple of the lower bound
 * @param p50 median time to the first token of interactive requests, in milliseconds
 * @param p95 95th percentile of it
 * @param p99 99th percentile of it
 */
record PolicyResult(
        String policy,
        long sent,
        long done,
        long refused,
        double hitRate,
        double toBound,
        long p50,
        long p95,
        long p99) {
    static final String HEAD =
            "| scenario | policy | sent | done | refused | hit rate | recomputed / bound | p50 ms | p95 ms | p99 ms |\n"
                    + "|---|---|---|---|---|---|---|---|---|---|";

    String render(String scenario) {
        return String.format(
                "| %s | %s | %d | %d | %d | %.3f | %.2f | %d | %d | %d |",
                scenario, policy, sent, done, refused, hitRate, toBound, p50, p95, p99);
    }
}
