package org.hornbeamhead.core.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.function.IntSupplier;

/**
 * Tracks which routers are active, their request rates, and this router's share of fleet-wide limits.
 *
 * <p>Callers may use only eight of 63 routers. If a limit were divided by all of them, a router with an eighth of the
 * work could open a sixty-third of the connections and retry two requests in ten seconds. A router without callers
 * therefore lends half of its equal part to those that have some, for a few seconds at a time. A part is never used by
 * two routers, so that partitions, restarts and lost datagrams cost a loan and never add to a limit.
 *
 * <p>Owned by one thread.
 */
public final class ActiveRouters {
    /** An active router sends hints every half a second; after six lost datagrams in a row it counts as inactive. */
    private static final long PEER_TIMEOUT_MILLIS = 3_000;
    /**
     * Time for which routers that became inactive still count for the size of the fleet. Routers that are partitioned
     * from one another, and know no list of all, would otherwise each act as the only one.
     */
    private static final long PEER_RETENTION_MILLIS = 60_000;
    /** Window over which this router's own rate is computed. */
    private static final long RATE_WINDOW_MILLIS = 2_000;

    /** The part of a limit that routers without callers lend. The other half lets each serve a little at any time. */
    static final double LENT_HALF = 0.5;

    /** Share of the highest request rate from which on a router counts as busy. */
    private static final double BUSY_SHARE = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final IntSupplier listedCount;
    private final boolean restarted;
    private final Map<String, PeerRate> peers = new HashMap<>();
    private final LimitLoans loans = new LimitLoans();
    private long firstUsedMillis = Long.MAX_VALUE / 2;
    private long windowStart = Long.MIN_VALUE / 2;
    private int requestCount;
    private double lastRate;

    private record PeerRate(double rate, long at) {}

    /**
     * Creates a view without any peers.
     *
     * @param listedCount returns the number of listed routers, this one included
     */
    public ActiveRouters(IntSupplier listedCount) {
        this(listedCount, false);
    }

    /**
     * Creates a view without any peers.
     *
     * @param listedCount returns the number of listed routers, this one included
     * @param restarted whether others may be running, which a previous process of this router may have lent a part
     */
    public ActiveRouters(IntSupplier listedCount, boolean restarted) {
        this.listedCount = listedCount;
        this.restarted = restarted;
    }

    /**
     * Creates a view without any peers for a router that starts while others may be running.
     *
     * @param listedCount returns the number of listed routers, this one included
     * @return the view
     */
    public static ActiveRouters restarted(IntSupplier listedCount) {
        return new ActiveRouters(listedCount, true);
    }

    /**
     * Records a request of a caller at this router.
     *
     * @param nowMillis the monotonic time
     */
    public void recordRequest(long nowMillis) {
        rollWindow(nowMillis);
        requestCount++;
    }

    private void rollWindow(long nowMillis) {
        long elapsedMillis = nowMillis - windowStart;
        if (elapsedMillis >= RATE_WINDOW_MILLIS) {
            lastRate = elapsedMillis < 2 * RATE_WINDOW_MILLIS ? requestCount * MILLIS_PER_SECOND / elapsedMillis : 0;
            requestCount = 0;
            windowStart = nowMillis;
        }
    }

    /**
     * Returns this router's request rate.
     *
     * @param nowMillis the monotonic time
     * @return requests a second, over the last two to four seconds
     */
    public double ownRate(long nowMillis) {
        rollWindow(nowMillis);
        long elapsedMillis = nowMillis - windowStart;
        double currentRate =
                requestCount * MILLIS_PER_SECOND / Math.max(RATE_WINDOW_MILLIS / 2.0, (double) elapsedMillis);
        return Math.max(lastRate, currentRate);
    }

    /**
     * Records the request rate of another router.
     *
     * @param router its address
     * @param requestsPerSecond its request rate
     * @param nowMillis the monotonic time
     */
    public void recordPeer(String router, double requestsPerSecond, long nowMillis) {
        peers.put(router, new PeerRate(requestsPerSecond, nowMillis));
        peers.values().removeIf(peer -> nowMillis - peer.at() > PEER_RETENTION_MILLIS);
    }

    /**
     * Returns the other routers that are active.
     *
     * @param nowMillis the monotonic time
     * @return their addresses
     */
    public List<String> activePeers(long nowMillis) {
        return peers.entrySet().stream()
                .filter(e -> isActive(e.getValue(), nowMillis))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the other routers that receive a considerable part of the requests. Callers may send nearly all requests
     * to eight of 68 routers and a few to each of the rest; the choices of the eight depend on one another most.
     *
     * @param nowMillis the monotonic time
     * @return their addresses
     */
    public List<String> busyPeers(long nowMillis) {
        double highestRate = peers.values().stream()
                .filter(peer -> isActive(peer, nowMillis))
                .mapToDouble(PeerRate::rate)
                .reduce(ownRate(nowMillis), Math::max);
        return peers.entrySet().stream()
                .filter(e -> isActive(e.getValue(), nowMillis))
                .filter(e -> e.getValue().rate() >= highestRate * BUSY_SHARE)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the total request rate of all routers.
     *
     * @param nowMillis the monotonic time
     * @return requests a second, as far as known
     */
    public double fleetRate(long nowMillis) {
        return ownRate(nowMillis)
                + peers.values().stream()
                        .filter(peer -> isActive(peer, nowMillis))
                        .mapToDouble(PeerRate::rate)
                        .sum();
    }

    /**
     * Returns this router's share of a limit that all routers together must not exceed, whatever they know of one
     * another: an equal part, less what it has lent, and what it has borrowed.
     *
     * @param nowMillis the monotonic time
     * @return the share, above 0 and at most 1
     */
    public double limitShare(long nowMillis) {
        double half = LENT_HALF / fleetSize();
        double kept = isSettled(nowMillis) ? Math.max(0, half - loans.lent(nowMillis)) : 0;
        return Math.min(1, half + kept + loans.borrowed(nowMillis));
    }

    /**
     * Returns an equal part of a limit, without loans: for amounts that accumulate, of which a part that has moved
     * would count twice.
     *
     * @return the share, above 0 and at most 1
     */
    public double equalShare() {
        return 1.0 / fleetSize();
    }

    /** Returns whether a previous process of this router can no longer have lent any of its part. */
    private boolean isSettled(long nowMillis) {
        firstUsedMillis = Math.min(firstUsedMillis, nowMillis);
        return !restarted || nowMillis >= firstUsedMillis + LimitLoans.LOAN_MILLIS;
    }

    /**
     * Records that this router asks others for loans of their parts.
     *
     * @param nowMillis the monotonic time
     * @return the number of the question, empty if this router has no callers and needs none
     */
    public OptionalInt askForLoans(long nowMillis) {
        return ownRate(nowMillis) > 0 ? OptionalInt.of(loans.ask(nowMillis)) : OptionalInt.empty();
    }

    /**
     * Lends a part of the limits to another router if this one has no callers.
     *
     * @param borrower the address of the router that asks
     * @param nowMillis the monotonic time
     * @return the part, empty if there is none
     */
    public OptionalDouble lend(String borrower, long nowMillis) {
        if (!isSettled(nowMillis) || ownRate(nowMillis) > 0) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(loans.lend(borrower, LENT_HALF / fleetSize(), nowMillis));
    }

    /**
     * Records a loan from another router.
     *
     * @param lender its address
     * @param question the number of the question that it answers
     * @param share the part that it lends
     * @param nowMillis the monotonic time
     */
    public void recordLoan(String lender, int question, double share, long nowMillis) {
        loans.recordLoan(lender, question, share, nowMillis);
    }

    private int fleetSize() {
        return Math.max(1, Math.max(listedCount.getAsInt(), peers.size() + 1));
    }

    private static boolean isActive(PeerRate peer, long nowMillis) {
        return nowMillis - peer.at() < PEER_TIMEOUT_MILLIS;
    }
}
