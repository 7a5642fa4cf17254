package org.hornbeamhead.core.path;

import java.util.HashSet;
import java.util.Set;

/**
 * Whether a router has a path to the replicas of one service, by its own contacts.
 *
 * <p>A contact that fails may be the fault of its replica. The path counts as lost once contacts with several replicas,
 * or with all if there are fewer, have failed and nothing was received from any replica of the service in between.
 *
 * <p>Not thread-safe.
 */
public final class ServicePath {
    /** More replicas rarely end at the same time. */
    private static final int REQUIRED_FAILURES = 4;
    /** Other routers hear of a loss only after this time, so that callers do not move because of a short fault. */
    private static final long ANNOUNCEMENT_DELAY_MILLIS = 300;
    /** Other routers hear of a restored path only after this time, so that callers do not move back too early. */
    private static final long RESTORED_DELAY_MILLIS = 1_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Set<String> failedReplicas = new HashSet<>();
    private boolean lost;
    private long lostAtMillis = NEVER;
    private long announcedUntilMillis = NEVER;

    /**
     * Records that something was received from a replica of the service.
     *
     * @param nowMillis the monotonic time
     * @return whether this restores a lost path
     */
    public boolean recordContact(long nowMillis) {
        failedReplicas.clear();
        if (!lost) {
            return false;
        }
        if (isAnnounced(nowMillis)) {
            announcedUntilMillis = nowMillis + RESTORED_DELAY_MILLIS;
        }
        lost = false;
        return true;
    }

    /**
     * Records that a replica of the service could not be reached.
     *
     * @param run the run of the replica
     * @param replicas the number of replicas of the service
     * @param nowMillis the monotonic time
     * @return whether the path is lost from now on
     */
    public boolean recordFailure(String run, int replicas, long nowMillis) {
        failedReplicas.add(run);
        if (lost || failedReplicas.size() < Math.min(REQUIRED_FAILURES, replicas)) {
            return false;
        }
        lost = true;
        lostAtMillis = nowMillis;
        return true;
    }

    /**
     * Returns whether a replica could not be reached since anything was received from the service.
     *
     * @param run the run of the replica
     * @return true if its last contact failed
     */
    public boolean hasFailed(String run) {
        return failedReplicas.contains(run);
    }

    /**
     * Returns whether the path may be lost.
     *
     * @return true if contacts failed, but too few to tell
     */
    public boolean isSuspected() {
        return !lost && !failedReplicas.isEmpty();
    }

    /**
     * Returns whether the path is lost.
     *
     * @return true until something is received from a replica
     */
    public boolean isLost() {
        return lost;
    }

    /**
     * Returns since when the path is lost.
     *
     * @return the monotonic time in milliseconds; meaningful only while it is lost
     */
    public long lostAtMillis() {
        return lostAtMillis;
    }

    /**
     * Returns whether other routers should take the path for lost.
     *
     * @param nowMillis the monotonic time
     * @return true from shortly after the loss until shortly after the path is restored
     */
    public boolean isAnnounced(long nowMillis) {
        return nowMillis < announcedUntilMillis || (lost && nowMillis - lostAtMillis >= ANNOUNCEMENT_DELAY_MILLIS);
    }
}
