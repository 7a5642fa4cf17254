package org.hornbeamhead.core.membership;

/** The status of a member. Within one incarnation a later constant overrides an earlier one. */
public enum MemberStatus {
    /** Listed or learned through gossip but not serving yet; not announced to callers. */
    STARTING,
    /** Serving. */
    ALIVE,
    /** Shutting down gracefully: still serving, but not announced to callers. */
    LEAVING,
    /** Did not answer a probe, and can still refute the suspicion. */
    SUSPECT,
    /** Did not answer and did not refute the suspicion in time. */
    DEAD
}
