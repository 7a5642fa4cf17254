package org.hornbeamhead.gateway.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Which weights are named, and which replicas are about to change theirs. */
public final class WeightsView {
    /**
     * Answers on older weights are worth less from this time after a newer version was named; from the users' pages.
     */
    private static final long OLD_PENALIZED_MILLIS = 1_500;
    /** Begins this long before the bound, so that a request that was just sent still begins within it. */
    private static final long FORBIDDEN_MARGIN_MILLIS = 400;
    /** A notice of a change that was not renewed for this long belongs to a holder that is gone. */
    private static final long STEER_LIFE_MILLIS = 3_000;

    private final long oldForbiddenMillis;
    private final Map<String, Named> named = new HashMap<>();
    private final Set<String> steered = new HashSet<>();
    private long steeredAt;

    private record Named(long version, long sinceMillis) {}

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
        Named before = named.get(model);
        if (before == null || before.version() < version) {
            named.put(model, new Named(version, nowMillis));
        }
    }

    /**
     * Returns the newest version.
     *
     * @param model the model
     * @return the version, 0 when none was named
     */
    public long named(String model) {
        Named n = named.get(model);
        return n == null ? 0 : n.version();
    }

    /**
     * Returns all named versions.
     *
     * @return version by model
     */
    public Map<String, Long> all() {
        Map<String, Long> all = new HashMap<>();
        named.forEach((m, n) -> all.put(m, n.version()));
        return all;
    }

    /**
     * Tells whether answers on older weights are worth less.
     *
     * @param model the model
     * @param nowMillis the monotonic time
     * @return whether the newest version was named some time ago
     */
    public boolean oldPenalized(String model, long nowMillis) {
        return age(model, nowMillis) > OLD_PENALIZED_MILLIS;
    }

    /**
     * Tells whether no request may begin on older weights.
     *
     * @param model the model
     * @param nowMillis the monotonic time
     * @return whether the bound is over
     */
    public boolean oldForbidden(String model, long nowMillis) {
        return age(model, nowMillis) > oldForbiddenMillis;
    }

    private long age(String model, long nowMillis) {
        Named n = named.get(model);
        return n == null ? 0 : nowMillis - n.sinceMillis();
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
