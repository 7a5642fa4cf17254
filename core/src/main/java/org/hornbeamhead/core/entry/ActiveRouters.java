package org.hornbeamhead.core.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * Tracks which routers are active, their request rates, and this router's share of fleet-wide limits.
 *
 * <p>Callers may use only eight of 63 routers. If a limit were divided by all of them, a router with an eighth of the
 * work could open a sixty-third of the connections and retry two requests in ten seconds. Half of each limit is
 * therefore divided by all routers, so that each can use a little at any time, and half by the active ones.
 *
 * <p>Owned by one thread.
 */
public final class ActiveRouters {
    /** An active router sends hints every half a second; after six lost datagrams in a row it counts as inactive. */
    private static final long PEER_TIMEOUT_MILLIS = 3_000;
    /**
     * Time for which routers that became inactive still count for limits. Routers that are partitioned from one another
     * would otherwise each act as the only one and together send many times the retries that the fleet may. A minute is
     * longer than the windows of limits and than most partitions.
     */
    private static final long PEER_RETENTION_MILLIS = 60_000;
    /** Window over which this router's own rate is computed. */
    private static final long RATE_WINDOW_MILLIS = 2_000;

    /** Share of the highest request rate from which on a router counts as busy. */
    private static final double BUSY_SHARE = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final IntSupplier listedCount;
    private final boolean restarted;
    private final Set<String> everHeard = new HashSet<>();
    private final Map<String, PeerRate> peers = new HashMap<>();
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

    private ActiveRouters(IntSupplier listedCount, boolean restarted) {
        this.listedCount = listedCount;
        this.restarted = restarted;
    }

    /**
     * Creates a view without any peers for a router that starts while others may be running. A partition may keep it
     * from hearing of them.
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
        everHeard.add(router);
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
     * Returns this router's share of a limit for the whole fleet. The shares of the active routers add up to at most
     * the limit as long as each knows of the others; a router that knows of no other takes an equal share.
     *
     * @return the share, above 0 and at most 1
     */
    public double limitShare() {
        int fleetSize = fleetSize();
        int activeCount = peers.isEmpty() ? fleetSize : peers.size() + 1;
        return (1.0 / fleetSize + 1.0 / activeCount) / 2;
    }

    /**
     * Returns this router's share of a limit that all routers together must not exceed, whatever they know of one
     * another. One half is divided by all routers; the other half by those that ever were active, of which a router
     * without callers takes no part. A router that restarted may not have heard of some, and takes an equal part.
     *
     * @param nowMillis the monotonic time
     * @return the share, above 0 and at most 1
     */
    public double boundedShare(long nowMillis) {
        int fleetSize = fleetSize();
        if (ownRate(nowMillis) == 0) {
            return 0.5 / fleetSize;
        }
        boolean peersKnown = !everHeard.isEmpty() && !restarted;
        return (1.0 / fleetSize + 1.0 / (peersKnown ? Math.min(fleetSize, everHeard.size() + 1) : fleetSize)) / 2;
    }

    private int fleetSize() {
        return Math.max(1, Math.max(listedCount.getAsInt(), peers.size() + 1));
    }

    private static boolean isActive(PeerRate peer, long nowMillis) {
        return nowMillis - peer.at() < PEER_TIMEOUT_MILLIS;
    }
}
