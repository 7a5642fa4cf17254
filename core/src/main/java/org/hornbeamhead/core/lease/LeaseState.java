package org.hornbeamhead.core.lease;

/**
 * A lease as its holder sees it.
 *
 * @param name what the lease is on
 * @param lease the platform's id of it
 * @param fence the fencing number, higher with each holder
 * @param validUntilMillis the monotonic time after which the holder must not act
 */
public record LeaseState(String name, String lease, long fence, long validUntilMillis) {}
