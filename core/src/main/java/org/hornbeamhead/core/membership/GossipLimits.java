package org.hornbeamhead.core.membership;

/**
 * Timing and fan-out of gossip. The cost per node is independent of the fleet size, except that the number of times an
 * update is sent grows with its logarithm.
 *
 * @param periodMillis the time between two probes by one node, in milliseconds
 * @param ackTimeoutMillis how long to wait for a direct answer before requesting indirect probes, in milliseconds
 * @param suspectPeriods the number of periods in which a suspect can refute the suspicion
 * @param indirectProbes the number of peers asked to probe indirectly
 * @param fanout the number of peers notified immediately of a new configuration
 */
public record GossipLimits(
        long periodMillis, long ackTimeoutMillis, int suspectPeriods, int indirectProbes, int fanout) {
    /** One probe a second; a dead member is marked dead after about four to six seconds. */
    public static final GossipLimits STANDARD = new GossipLimits(1_000, 300, 3, 2, 3);

    /** Validates the values. */
    public GossipLimits {
        if (periodMillis <= ackTimeoutMillis
                || ackTimeoutMillis <= 0
                || suspectPeriods <= 0
                || indirectProbes < 0
                || fanout <= 0) {
            throw new IllegalArgumentException(
                    "gossip limits must be positive (indirectProbes may be 0), the period longer than the ack timeout");
        }
    }
}
