package org.hornbeamhead.core.claim;

/** The result of a claim to run a request that is not repeatable. */
public enum ClaimResult {
    /** Only the claiming attempt may run the request, once. */
    GRANTED,
    /** Another attempt may run the request or has run it. */
    TAKEN,
    /** The id is older than the retention. Whether the request ran is no longer known; it will not run from now on. */
    EXPIRED,
    /** The claim was certainly not recorded. */
    UNAVAILABLE,
    /** The claim may have been recorded; the claiming attempt must not run the request. */
    IN_DOUBT
}
