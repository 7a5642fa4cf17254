package org.hornbeamhead.core.membership;

/** What is believed of a member. At one incarnation a later constant goes before an earlier one. */
public enum MemberStatus {
    /** It is listed or heard of, and cannot serve yet: it must not be named to callers. */
    STARTING,
    /** It serves. */
    ALIVE,
    /** It is being shut down gracefully: it serves, but must not be named to callers. */
    LEAVING,
    /** It did not answer. It may still refute this. */
    SUSPECT,
    /** It did not answer and did not refute. */
    DEAD
}
