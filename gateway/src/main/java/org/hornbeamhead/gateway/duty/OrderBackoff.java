package org.hornbeamhead.gateway.duty;

import java.util.HashMap;
import java.util.Map;

/**
 * The replicas that do not carry out their orders. Each is ordered again after a delay that grows with its failures, so
 * that it gets no endless series of orders and does not keep other replicas from their change meanwhile.
 */
final class OrderBackoff {
    private static final long FIRST_DELAY_MILLIS = 500;
    private static final long MAX_DELAY_MILLIS = 8_000;

    private final Map<String, Failures> byRun = new HashMap<>();

    private record Failures(String model, long version, long delayMillis, long retryAtMillis) {
        boolean concerns(String otherModel, long otherVersion) {
            return model.equals(otherModel) && version == otherVersion;
        }
    }

    /**
     * Records that a replica did not carry out the order of a change.
     *
     * @param run the run of the replica
     * @param change the change
     * @param nowMillis the monotonic time
     */
    void recordFailure(String run, WeightsChange change, long nowMillis) {
        Failures before = byRun.get(run);
        long delay = before != null && before.concerns(change.model, change.version)
                ? Math.min(MAX_DELAY_MILLIS, 2 * before.delayMillis())
                : FIRST_DELAY_MILLIS;
        byRun.put(run, new Failures(change.model, change.version, delay, nowMillis + delay));
    }

    /**
     * Returns whether a replica should not be ordered yet.
     *
     * @param run the run of the replica
     * @param model the model to order
     * @param version the version to order
     * @param nowMillis the monotonic time
     * @return true until the delay after its last failure with the same order has passed
     */
    boolean isActive(String run, String model, long version, long nowMillis) {
        Failures failures = byRun.get(run);
        return failures != null && failures.concerns(model, version) && nowMillis < failures.retryAtMillis();
    }

    void clear() {
        byRun.clear();
    }
}
