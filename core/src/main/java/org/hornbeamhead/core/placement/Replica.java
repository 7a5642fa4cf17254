package org.hornbeamhead.core.placement;

import net.openhft.hashing.LongHashFunction;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.retry.OutlierDetector;

/**
 * One router's view of one replica. Owned by the router's thread.
 *
 * <p>The load consists of two parts: the router's own outstanding work, which it knows exactly, and that of other
 * routers, derived from the last report. If the reported load were used alone, all routers would choose the replica
 * with the lowest load in the last reports and make it the busiest by the next one.
 */
public final class Replica {
    private static final double INITIAL_MILLIS_PER_TOKEN = 0.05;
    private static final double MIN_MILLIS_PER_TOKEN = 0.0005;
    private static final double MIN_SMOOTHING_FACTOR = 0.1;
    private static final double MIN_TOKENS_FOR_SPEED_SAMPLE = 1_000;
    private static final long WARM_UP_MILLIS = 10_000;
    private static final long FULL_SHARE = 1_000;
    private static final long INITIAL_SHARE = 200;

    private final long ringKey;
    private Endpoint endpoint;
    private String incarnation = "";
    private String softwareName = "";
    private String model = "";
    private String weights = "";
    private boolean reported;
    private boolean draining;
    private CachedPrefixes cachedPrefixes = new CachedPrefixes();
    private long warmSinceMillis;
    private long ownTokens;
    private int ownStreams;
    private double otherRoutersTokens;
    private int otherRoutersStreams;
    private double busyUntilMillis;
    private int speedSamples;
    private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;
    private double fixedLatencyMillis;
    private final OutlierDetector outlier;

    /**
     * Creates the view of a replica from which no report has been received.
     *
     * @param endpoint the replica's entry in the host list
     * @param outlier ejects the replica while it keeps failing
     */
    Replica(Endpoint endpoint, OutlierDetector outlier) {
        this.endpoint = endpoint;
        this.ringKey = LongHashFunction.xx3().hashChars(endpoint.address());
        this.outlier = outlier;
    }

    /**
     * Applies a load report.
     *
     * <p>An engine that crashes and restarts at the same address has an empty cache, and reports cached-token counts of
     * 0 where hits were expected. All cache estimates are therefore dropped when the incarnation or the version of the
     * weights changes, so that the router does not send prompts there for the sake of lost entries.
     *
     * @param report the report
     * @param nowMillis the monotonic time, in milliseconds
     */
    void applyReport(LoadReport report, long nowMillis) {
        boolean changed =
                !report.incarnation().equals(incarnation) || !report.weights().equals(weights);
        if (changed) {
            // An engine that is new to this router may be warm from other routers' requests; only a known engine whose
            // incarnation or weights changed is cold.
            warmSinceMillis = reported ? nowMillis : nowMillis - WARM_UP_MILLIS;
            cachedPrefixes = new CachedPrefixes();
            incarnation = report.incarnation();
            weights = report.weights();
        }
        reported = true;
        softwareName = report.software();
        model = report.model();
        draining = report.draining();
        otherRoutersTokens = Math.max(0, report.waitingTokens() - ownTokens);
        busyUntilMillis = nowMillis + (ownTokens + otherRoutersTokens) * millisPerToken;
        otherRoutersStreams = Math.max(0, report.running() - ownStreams);
    }

    void endpoint(Endpoint changed) {
        endpoint = changed;
    }

    /**
     * Predicts the time to the first token.
     *
     * @param uncachedTokens the number of prompt tokens to be computed
     * @param nowMillis the monotonic time, in milliseconds
     * @return the time, in milliseconds
     */
    public double firstTokenMillis(int uncachedTokens, long nowMillis) {
        return fixedLatencyMillis + waitMillis(nowMillis) + computeMillis(uncachedTokens);
    }

    /**
     * Predicts how long a new request waits for the prompts queued ahead of it. Between two reports the predicted queue
     * shrinks with time and grows with this router's own dispatches.
     *
     * @param nowMillis the monotonic time, in milliseconds
     * @return the time, in milliseconds
     */
    public double waitMillis(long nowMillis) {
        return Math.max(0, busyUntilMillis - nowMillis);
    }

    /**
     * Predicts the time that computing prompt tokens takes.
     *
     * @param uncachedTokens the number of tokens
     * @return the time, in milliseconds
     */
    public double computeMillis(int uncachedTokens) {
        return uncachedTokens * millisPerToken;
    }

    /**
     * Estimates the number of prompt tokens queued ahead of a new request.
     *
     * @param nowMillis the monotonic time, in milliseconds
     * @return the number of tokens
     */
    public double waitingTokens(long nowMillis) {
        return waitMillis(nowMillis) / millisPerToken;
    }

    /**
     * Estimates the number of prompt tokens of a request that are not cached.
     *
     * @param chain the prompt's prefix levels
     * @param nowMillis the monotonic time, in milliseconds
     * @return the number of tokens to compute
     */
    public int uncachedTokens(PrefixChain chain, long nowMillis) {
        return chain.tokens() - cachedPrefixes.estimate(chain, nowMillis).expectedTokens();
    }

    /**
     * Returns whether new work may be sent to the replica.
     *
     * @param nowMillis the monotonic time, in milliseconds
     * @return false while the replica is leaving, draining or ejected
     */
    public boolean acceptsWork(long nowMillis) {
        return !endpoint.leaving() && !draining && !outlier.isEjected(nowMillis);
    }

    /**
     * Returns whether a prompt belongs to the share that the replica accepts while it warms up, which grows from a
     * fifth to all. This is a preference only: if no warm replica accepts work, a cold one serves any prompt.
     *
     * @param nowMillis the monotonic time, in milliseconds
     * @param key the prompt's key
     * @return true if it does; always true for a warm replica
     */
    public boolean isWarmFor(long nowMillis, long key) {
        long warmingMillis = nowMillis - Math.max(warmSinceMillis, outlier.ejectionEndMillis());
        if (warmingMillis >= WARM_UP_MILLIS) {
            return true;
        }
        long share = INITIAL_SHARE + (FULL_SHARE - INITIAL_SHARE) * Math.max(0, warmingMillis) / WARM_UP_MILLIS;
        return Math.floorMod(key, FULL_SHARE) < share;
    }

    void recordDispatch(PrefixChain chain, int uncached, long nowMillis) {
        ownTokens += uncached;
        ownStreams++;
        busyUntilMillis = Math.max((double) nowMillis, busyUntilMillis) + uncached * millisPerToken;
        cachedPrefixes.recordDispatch(chain, nowMillis);
    }

    void recordFirstToken(PlacementChoice choice, double elapsedMillis, long nowMillis) {
        ownTokens = Math.max(0, ownTokens - choice.uncachedTokens());
        if (ownTokens == 0 && otherRoutersTokens == 0) {
            busyUntilMillis = (double) nowMillis;
        }
        double tokens = choice.waitingTokens() + choice.uncachedTokens();
        if (tokens > MIN_TOKENS_FOR_SPEED_SAMPLE) {
            speedSamples++;
            double smoothing = Math.max(MIN_SMOOTHING_FACTOR, 1.0 / speedSamples);
            double sampleMillisPerToken = Math.max(0, elapsedMillis - fixedLatencyMillis) / tokens;
            millisPerToken = Math.max(
                    MIN_MILLIS_PER_TOKEN, millisPerToken + smoothing * (sampleMillisPerToken - millisPerToken));
        } else {
            double boundedMillis = Math.min(elapsedMillis, choice.firstTokenMillis() * 2 + 1);
            fixedLatencyMillis += MIN_SMOOTHING_FACTOR * (boundedMillis - fixedLatencyMillis);
        }
    }

    void recordCompletion() {
        ownStreams = Math.max(0, ownStreams - 1);
    }

    void recordAbandoned(int uncached) {
        ownTokens = Math.max(0, ownTokens - uncached);
        recordCompletion();
    }

    /**
     * Returns the replica's address, which is also its name.
     *
     * @return the address
     */
    public String address() {
        return endpoint.address();
    }

    /**
     * Returns the hash of the replica's address, from which all routers derive the same order.
     *
     * @return the hash
     */
    long ringKey() {
        return ringKey;
    }

    /**
     * Returns the replica's entry in the host list.
     *
     * @return the endpoint
     */
    public Endpoint endpoint() {
        return endpoint;
    }

    /**
     * Returns the last reported incarnation.
     *
     * @return the incarnation; empty before the first report
     */
    public String incarnation() {
        return incarnation;
    }

    /**
     * Returns the version of the software by the last report.
     *
     * @return the version, which is equal to that of no other run if the replica states none
     */
    public SoftwareVersion software() {
        return softwareName.isEmpty()
                ? SoftwareVersion.unnamed(endpoint.address() + '@' + incarnation)
                : SoftwareVersion.named(softwareName);
    }

    /**
     * Returns the last reported model.
     *
     * @return the model; empty before the first report
     */
    public String model() {
        return model;
    }

    /**
     * Returns the last reported version of the weights.
     *
     * @return the version; empty before the first report
     */
    public String weights() {
        return weights;
    }

    /**
     * Returns the estimate of the prefixes that the replica has cached.
     *
     * @return the estimate for the current incarnation
     */
    public CachedPrefixes cachedPrefixes() {
        return cachedPrefixes;
    }

    /**
     * Returns the guard that ejects the replica while it keeps failing.
     *
     * @return the guard
     */
    public OutlierDetector outlier() {
        return outlier;
    }

    /**
     * Returns the estimated number of streams running on the replica, from this router and from others.
     *
     * @return the number of streams
     */
    public int streams() {
        return ownStreams + otherRoutersStreams;
    }
}
