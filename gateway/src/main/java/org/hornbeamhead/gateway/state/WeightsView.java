package org.hornbeamhead.gateway.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/** Which weights are named, and which replicas are about to change theirs. */
public final class WeightsView {
    /**
     * Answers on older weights are worth less from this time after a newer version was named; from the users' pages.
     */
    private static final long OLD_PENALIZED_MILLIS = 1_500;
    /** Ends this long before the bound: the names come with a delay, and closing a connection takes its time too. */
    private static final long FORBIDDEN_MARGIN_MILLIS = 350;
    /** A notice of a change that was not renewed for this long belongs to a holder that is gone. */
    private static final long STEER_LIFE_MILLIS = 3_000;

    private final long oldForbiddenMillis;
    private final Map<String, NavigableMap<Long, Long>> namedAt = new HashMap<>();
    private final Set<String> steered = new HashSet<>();
    private long steeredAt;

    /**
     * Makes a view that knows nothing.
     *
     * @param boundMillis the time after which no request may begin on older weights, in milliseconds
     */
    public WeightsView(long boundMillis) {
        this.oldForbiddenMillis = Math.max(0, boundMillis - FORBIDDEN_MARGIN_MILLIS);
    }

    /**
     * Takes over a named version.
     *
     * @param model the model
     * @param version the version
     * @param nowMillis the monotonic time
     */
    public void name(String model, long version, long nowMillis) {
        namedAt.computeIfAbsent(model, m -> new TreeMap<>()).putIfAbsent(version, nowMillis);
    }

    /**
     * Returns the newest version.
     *
     * @param model the model
     * @return the version, 0 when none was named
     */
    public long named(String model) {
        NavigableMap<Long, Long> versions = namedAt.get(model);
        return versions == null ? 0 : versions.lastKey();
    }

    /**
     * Returns the newest versions of all models.
     *
     * @return version by model
     */
    public Map<String, Long> all() {
        Map<String, Long> all = new HashMap<>();
        namedAt.forEach((m, versions) -> all.put(m, versions.lastKey()));
        return all;
    }

    /**
     * Tells whether answers on a version are worth less, since a newer one was named some time ago.
     *
     * @param model the model
     * @param version the version
     * @param nowMillis the monotonic time
     * @return whether other replicas should be preferred
     */
    public boolean penalized(String model, long version, long nowMillis) {
        return replacedFor(model, version, nowMillis) > OLD_PENALIZED_MILLIS;
    }

    /**
     * Tells how long requests may still begin on a version. Each named version has a bound of its own, so the one that
     * followed counts, not the newest.
     *
     * @param model the model
     * @param version the version
     * @param nowMillis the monotonic time
     * @return milliseconds, not above zero once the bound is over; {@link Long#MAX_VALUE} while no newer one is named
     */
    public long usableMillis(String model, long version, long nowMillis) {
        NavigableMap<Long, Long> versions = namedAt.get(model);
        Map.Entry<Long, Long> next = versions == null ? null : versions.higherEntry(version);
        return next == null ? Long.MAX_VALUE : next.getValue() + oldForbiddenMillis - nowMillis;
    }

    private long replacedFor(String model, long version, long nowMillis) {
        NavigableMap<Long, Long> versions = namedAt.get(model);
        Map.Entry<Long, Long> next = versions == null ? null : versions.higherEntry(version);
        return next == null ? 0 : nowMillis - next.getValue();
    }

    /**
     * Takes over which replicas are about to change their weights.
     *
     * @param replicas their ids
     * @param nowMillis the monotonic time
     */
    public void steerAway(Set<String> replicas, long nowMillis) {
        steered.clear();
        steered.addAll(replicas);
        steeredAt = nowMillis;
    }

    /**
     * Tells whether a replica is about to change its weights.
     *
     * @param replica its id
     * @param nowMillis the monotonic time
     * @return whether new requests should go elsewhere
     */
    public boolean steered(String replica, long nowMillis) {
        return steered.contains(replica) && nowMillis - steeredAt < STEER_LIFE_MILLIS;
    }
}
