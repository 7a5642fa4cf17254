package org.hornbeamhead.core.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which routers with callers are in contact with this one, and computes the part of each quota that this router
 * may use.
 *
 * <p>Routers in contact know one another's use and each may use the whole quota. If some are out of contact, those in
 * contact with one another use a part in proportion to their number. The parts of all groups add up to the whole, so
 * that a partition does not multiply the quotas.
 *
 * <p>Not thread-safe.
 */
public final class QuotaContacts {
    /** A router with callers sends a hint at least every half a second; after three lost ones it is out of contact. */
    static final long CONTACT_MILLIS = 1_700;
    /** Time for which a listed router that has become silent may still be serving callers; longer than most outages. */
    private static final long RETENTION_MILLIS = 60_000;
    /** After its start, a router takes this long to hear from routers that know the use of the quotas. */
    private static final long START_MILLIS = 700;
    /** A router that does nothing for this long stood still; it runs at least every 50 ms otherwise. */
    private static final long MIN_STALL_MILLIS = 250;
    /** The age of a router's view of the store up to which the list of routers is taken to be current. */
    private static final long FRESH_VIEW_MILLIS = 2_600;

    private final Map<String, Long> lastHeard = new HashMap<>();
    private final Set<String> announced = new HashSet<>();
    private final Map<String, Long> activeSince = new HashMap<>();
    private final int maxPeers;
    private long startedMillis;
    private long lastRunningMillis;
    private boolean heardInformed;

    /**
     * What a router knows of the fleet.
     *
     * @param listed the addresses of the other routers that are listed
     * @param size the number of routers that may serve callers, including this one
     * @param viewAgeMillis the age of the list, in milliseconds
     * @param active the addresses of other routers that are known to serve callers, by any kind of message
     */
    public record Fleet(Set<String> listed, int size, long viewAgeMillis, Set<String> active) {
        /** Copies the sets. */
        public Fleet {
            listed = Set.copyOf(listed);
            active = Set.copyOf(active);
        }
    }

    /**
     * Creates the contacts of a router that has heard from no other.
     *
     * @param nowMillis the monotonic time
     * @param maxPeers the largest number of routers that each router sends hints to
     */
    public QuotaContacts(long nowMillis, int maxPeers) {
        this.startedMillis = nowMillis;
        this.lastRunningMillis = nowMillis;
        this.maxPeers = maxPeers;
    }

    /**
     * Records that this router is running. If it stood still before, as a cold process does, the hints of that time are
     * still unread, and the silence says nothing of the others.
     *
     * @param nowMillis the monotonic time
     */
    void recordRunning(long nowMillis) {
        long stillMillis = nowMillis - lastRunningMillis;
        if (stillMillis >= MIN_STALL_MILLIS) {
            lastHeard.replaceAll((peer, at) -> at + stillMillis);
            startedMillis += stillMillis;
        }
        lastRunningMillis = nowMillis;
    }

    /**
     * Records a hint from another router.
     *
     * @param peer its address
     * @param hint the hint
     * @param nowMillis the monotonic time
     */
    void recordHint(String peer, QuotaHint hint, long nowMillis) {
        heardInformed |= hint.informed();
        announced.add(peer);
        if (hint.idle()) {
            lastHeard.remove(peer);
        } else {
            lastHeard.put(peer, nowMillis);
        }
    }

    /**
     * Returns whether this router knows what other routers have admitted recently, as far as anyone does.
     *
     * @param nowMillis the monotonic time
     * @return true once it has heard from a router that knows, or has been running long enough to hear from one
     */
    boolean isInformed(long nowMillis) {
        return heardInformed || nowMillis - startedMillis >= START_MILLIS;
    }

    /**
     * Returns the part of each quota that this router may use.
     *
     * @param fleet what this router knows of the fleet
     * @param nowMillis the monotonic time
     * @return the share, above 0 and at most 1
     */
    double share(Fleet fleet, long nowMillis) {
        boolean current = fleet.viewAgeMillis() < FRESH_VIEW_MILLIS;
        lastHeard.entrySet().removeIf(e -> isGone(e.getKey(), e.getValue(), fleet, current, nowMillis));
        int inContact = countInContact(nowMillis);
        int fleetSize = Math.max(fleet.size(), Math.max(fleet.listed().size(), lastHeard.size()) + 1);
        boolean alone = inContact == 0 && !current;
        if (alone || !isInformed(nowMillis)) {
            return (inContact + 1.0) / fleetSize;
        }
        // Beyond the routers that each hint reaches, some may serve callers without being heard.
        long known = inContact >= maxPeers ? fleetSize : lastHeard.size() + countUnannounced(fleet, nowMillis) + 1;
        return Math.min(1, (inContact + 1.0) / known);
    }

    /**
     * Returns the number of other routers that serve callers and are in contact.
     *
     * @param nowMillis the monotonic time
     * @return the number, without this router
     */
    int countInContact(long nowMillis) {
        return (int) lastHeard.values().stream()
                .filter(at -> nowMillis - at < CONTACT_MILLIS)
                .count();
    }

    /** Returns the age of the oldest of the last hints of the routers in contact, 0 if there are none. */
    long oldestHintMillis(long nowMillis) {
        return lastHeard.values().stream()
                .mapToLong(at -> nowMillis - at)
                .filter(age -> age < CONTACT_MILLIS)
                .max()
                .orElse(0);
    }

    /** Counts the routers that serve callers and never told of their use, such as those of an older version. */
    private long countUnannounced(Fleet fleet, long nowMillis) {
        activeSince.keySet().retainAll(fleet.active());
        fleet.active().forEach(a -> activeSince.putIfAbsent(a, nowMillis));
        return activeSince.entrySet().stream()
                .filter(e -> !announced.contains(e.getKey()) && nowMillis - e.getValue() >= CONTACT_MILLIS)
                .count();
    }

    private static boolean isGone(String peer, long heardMillis, Fleet fleet, boolean current, long nowMillis) {
        long silentMillis = nowMillis - heardMillis;
        boolean delisted =
                current && silentMillis > CONTACT_MILLIS && !fleet.listed().contains(peer);
        return delisted || silentMillis > RETENTION_MILLIS;
    }
}
