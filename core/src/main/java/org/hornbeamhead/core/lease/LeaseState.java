package org.hornbeamhead.core.lease;

/**
 * The state of a lease, as known to its holder.
 *
 * @param name the name of the leased resource
 * @param lease the platform's id of the lease
 * @param fence the fencing number, which increases with each holder
 * @param validUntilMillis the monotonic time from which the holder must not act, in milliseconds
 */
public record LeaseState(String name, String lease, long fence, long validUntilMillis) {}
