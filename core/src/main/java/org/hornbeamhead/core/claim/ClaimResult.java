package org.hornbeamhead.core.claim;

/** What came of the wish to run a request that is not repeatable. */
public enum ClaimResult {
    /** The asker alone may run it, once. */
    GRANTED,
    /** Another attempt may run it or has run it. */
    TAKEN,
    /** The id is older than the retention. Whether it ran is no longer known; it will not run from now on. */
    EXPIRED,
    /** The claim was surely not recorded. */
    UNAVAILABLE,
    /** The claim may have been recorded; the asker must not run the request. */
    IN_DOUBT
}
