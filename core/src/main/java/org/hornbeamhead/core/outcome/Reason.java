package org.hornbeamhead.core.outcome;

import java.util.Locale;

/** Why a request did not complete. The wire name is the lower-case name with hyphens. */
public enum Reason {
    /** The input is malformed; the findings say how. */
    BAD_REQUEST,
    /** The customer's key is not known. */
    UNKNOWN_CUSTOMER,
    /** The class, model or service is not one that the customer may use. */
    NOT_ALLOWED,
    /** The pool has no replica that takes work. */
    NO_REPLICA,
    /** The class's target cannot be met at the present load. */
    OVERLOADED,
    /** The customer is over its fair share while others wait. */
    OVER_SHARE,
    /** The router holds as many requests as it may. */
    ROUTER_FULL,
    /** The router is shutting down. */
    DRAINING,
    /** The router has no configuration yet. */
    NOT_READY,
    /** The platform's service cannot record the claim now. */
    CLAIM_UNAVAILABLE,
    /** Another attempt holds the claim on this id. */
    ALREADY_CLAIMED,
    /** The id is older than the retention of claims. */
    ID_EXPIRED,
    /** The claim's result could not be learned; the request was not dispatched but its id is spent. */
    CLAIM_IN_DOUBT,
    /** The router that issued the ticket cannot be reached. */
    TICKET_HOLDER_LOST,
    /** The endpoint failed or fell silent after the request was sent. */
    ENDPOINT_LOST,
    /** The endpoint's answer did not belong to this request, or broke its sequence. */
    CORRUPT_ANSWER,
    /** Tries or time ran out before an endpoint took the request. */
    TRIES_EXHAUSTED,
    /** Replicas ended while requests with this content ran there. */
    HELD_BACK,
    /** The caller went away. */
    CALLER_GONE;

    /**
     * Gives the name used in answers, logs and metrics.
     *
     * @return such as {@code no-replica}
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
