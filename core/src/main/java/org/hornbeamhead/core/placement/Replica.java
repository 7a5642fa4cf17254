package org.hornbeamhead.core.placement;

import net.openhft.hashing.LongHashFunction;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.retry.OutlierDetector;

/**
 * One router's view of one replica. Owned by the router's thread.
 *
 * <p>The load is split in two: the router's own outstanding work, which it knows exactly, and the others', taken from
 * the last report. Were the whole report taken as it is, all routers would run to the replica that reported least a
 * moment ago, and the next report would show it as the busiest.
 */
public final class Replica {
    private static final double FIRST_MILLIS_PER_TOKEN = 0.05;
    private static final double MIN_MILLIS_PER_TOKEN = 0.0005;
    private static final double SMOOTHING = 0.1;
    private static final double ENOUGH_TO_TELL_SPEED = 1_000;
    private static final long WARM_UP_MILLIS = 10_000;
    private static final long FULL_SHARE = 1_000;
    private static final long FIRST_SHARE = 200;

    private final long ringKey;
    private Endpoint endpoint;
    private String incarnation = "";
    private String model = "";
    private String weights = "";
    private boolean reported;
    private boolean draining;
    private CachedPrefixes cached = new CachedPrefixes();
    private long warmSinceMillis;
    private long ownTokens;
    private int ownStreams;
    private double othersTokens;
    private int othersStreams;
    private double busyUntilMillis;
    private int samples;
    private double millisPerToken = FIRST_MILLIS_PER_TOKEN;
    private double fixedMillis;
    private final OutlierDetector outlier;

    /**
     * Makes the view of a replica not yet heard of.
     *
     * @param endpoint its line in the host list
     * @param outlier decides when it is left out for failing
     */
    Replica(Endpoint endpoint, OutlierDetector outlier) {
        this.endpoint = endpoint;
        this.ringKey = LongHashFunction.xx3().hashChars(endpoint.address());
        this.outlier = outlier;
    }

    /**
     * Takes in a load report.
     *
     * <p>Failure: an engine crashes and comes back at the same address with an empty cache; the router goes on sending
     * there for a cache that is gone. Symptom: cached-token counts of 0 where hits were expected. A changed incarnation
     * drops the whole belief at once, so that no old entry is ever relied upon.
     *
     * @param report the report
     * @param nowMillis the monotonic time
     */
    void report(LoadReport report, long nowMillis) {
        boolean changed =
                !report.incarnation().equals(incarnation) || !report.weights().equals(weights);
        if (changed) {
            // The first engine a router meets may be warm for others; only a known one that changed is cold.
            warmSinceMillis = reported ? nowMillis : nowMillis - WARM_UP_MILLIS;
            cached = new CachedPrefixes();
            incarnation = report.incarnation();
            weights = report.weights();
        }
        reported = true;
        model = report.model();
        draining = report.draining();
        othersTokens = Math.max(0, report.waitingTokens() - ownTokens);
        busyUntilMillis = nowMillis + (ownTokens + othersTokens) * millisPerToken;
        othersStreams = Math.max(0, report.running() - ownStreams);
    }

    void endpoint(Endpoint changed) {
        endpoint = changed;
    }

    /**
     * Predicts the time to the first token.
     *
     * @param missedTokens prompt tokens to be computed
     * @param nowMillis the monotonic time
     * @return milliseconds
     */
    public double firstTokenMillis(int missedTokens, long nowMillis) {
        return fixedMillis + waitMillis(nowMillis) + computeMillis(missedTokens);
    }

    /**
     * Predicts how long a new request waits for the prompts ahead of it. Between two reports the backlog drains with
     * time and grows with this router's own dispatches.
     *
     * @param nowMillis the monotonic time
     * @return milliseconds
     */
    public double waitMillis(long nowMillis) {
        return Math.max(0, busyUntilMillis - nowMillis);
    }

    /**
     * Predicts how long prompt tokens take to compute.
     *
     * @param missedTokens how many
     * @return milliseconds
     */
    public double computeMillis(int missedTokens) {
        return missedTokens * millisPerToken;
    }

    /**
     * Estimates the prompt tokens ahead of a new request.
     *
     * @param nowMillis the monotonic time
     * @return tokens
     */
    public double waitingTokens(long nowMillis) {
        return waitMillis(nowMillis) / millisPerToken;
    }

    /**
     * Counts prompt tokens of a request that were predicted to be missing in the cache.
     *
     * @param chain the prompt's levels
     * @param nowMillis the monotonic time
     * @return tokens to compute
     */
    public int missedTokens(PrefixChain chain, long nowMillis) {
        return chain.tokens() - cached.belief(chain, nowMillis).expectedTokens();
    }

    /**
     * Tells whether new work may go here at all.
     *
     * @param nowMillis the monotonic time
     * @return false while it leaves, drains, or is ejected
     */
    public boolean takesWork(long nowMillis) {
        return !endpoint.leaving() && !draining && !outlier.isEjected(nowMillis);
    }

    /**
     * Tells whether a prompt belongs to the share that a replica takes while it warms up, which grows from a fifth to
     * all. A preference only: where no warm replica takes work, a cold one serves any prompt.
     *
     * @param nowMillis the monotonic time
     * @param key the prompt's key
     * @return true when it does; always true for a warm replica
     */
    public boolean isWarmFor(long nowMillis, long key) {
        long sinceMillis = nowMillis - Math.max(warmSinceMillis, outlier.ejectionEndMillis());
        if (sinceMillis >= WARM_UP_MILLIS) {
            return true;
        }
        long share = FIRST_SHARE + (FULL_SHARE - FIRST_SHARE) * Math.max(0, sinceMillis) / WARM_UP_MILLIS;
        return Math.floorMod(key, FULL_SHARE) < share;
    }

    void dispatched(PrefixChain chain, int missed, long nowMillis) {
        ownTokens += missed;
        ownStreams++;
        busyUntilMillis = Math.max((double) nowMillis, busyUntilMillis) + missed * millisPerToken;
        cached.sent(chain, nowMillis);
    }

    void firstToken(PlacementChoice choice, double elapsedMillis, long nowMillis) {
        ownTokens = Math.max(0, ownTokens - choice.missedTokens());
        if (ownTokens == 0 && othersTokens == 0) {
            busyUntilMillis = (double) nowMillis;
        }
        double tokens = choice.waitingTokens() + choice.missedTokens();
        if (tokens > ENOUGH_TO_TELL_SPEED) {
            samples++;
            double smoothing = Math.max(SMOOTHING, 1.0 / samples);
            double measured = Math.max(0, elapsedMillis - fixedMillis) / tokens;
            millisPerToken = Math.max(MIN_MILLIS_PER_TOKEN, millisPerToken + smoothing * (measured - millisPerToken));
        } else {
            double plausible = Math.min(elapsedMillis, choice.firstTokenMillis() * 2 + 1);
            fixedMillis += SMOOTHING * (plausible - fixedMillis);
        }
    }

    void ended() {
        ownStreams = Math.max(0, ownStreams - 1);
    }

    void abandoned(int missed) {
        ownTokens = Math.max(0, ownTokens - missed);
        ended();
    }

    /**
     * Returns the replica's name: its address.
     *
     * @return the address
     */
    public String address() {
        return endpoint.address();
    }

    /**
     * Returns the hash of the replica's name, for orders that all routers agree on.
     *
     * @return the hash
     */
    long ringKey() {
        return ringKey;
    }

    /**
     * Returns the replica's line in the host list.
     *
     * @return the endpoint
     */
    public Endpoint endpoint() {
        return endpoint;
    }

    /**
     * Returns the incarnation last reported.
     *
     * @return the incarnation; empty before the first report
     */
    public String incarnation() {
        return incarnation;
    }

    /**
     * Returns the model last reported.
     *
     * @return the model; empty before the first report
     */
    public String model() {
        return model;
    }

    /**
     * Returns the version of the weights last reported.
     *
     * @return the version; empty before the first report
     */
    public String weights() {
        return weights;
    }

    /**
     * Returns the belief about the replica's cache.
     *
     * @return the belief about the present incarnation
     */
    public CachedPrefixes cached() {
        return cached;
    }

    /**
     * Returns the guard that ejects the replica when it keeps failing.
     *
     * @return the guard
     */
    public OutlierDetector outlier() {
        return outlier;
    }

    /**
     * Counts streams believed to run at the replica, this router's and others'.
     *
     * @return streams
     */
    public int streams() {
        return ownStreams + othersStreams;
    }
}
