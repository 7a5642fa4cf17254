package org.hornbeamhead.core.membership;

/**
 * The pace of gossip. Costs per node do not depend on the size of the fleet, but for the logarithm in how often news is
 * passed on.
 *
 * @param periodMillis the time between two probes by one node, in milliseconds
 * @param ackMillis how long a direct answer may take before others are asked to probe, in milliseconds
 * @param suspectPeriods periods that a suspect has to refute
 * @param indirect how many others are asked to probe
 * @param fanout how many peers are told of a new configuration at once
 */
public record GossipLimits(long periodMillis, long ackMillis, int suspectPeriods, int indirect, int fanout) {
    /** One probe a second; a dead member is out after about four to six seconds. */
    public static final GossipLimits STANDARD = new GossipLimits(1_000, 300, 3, 2, 3);

    /** Checks the numbers. */
    public GossipLimits {
        if (periodMillis <= ackMillis || ackMillis <= 0 || suspectPeriods <= 0 || indirect < 0 || fanout <= 0) {
            throw new IllegalArgumentException("limits out of range");
        }
    }
}
