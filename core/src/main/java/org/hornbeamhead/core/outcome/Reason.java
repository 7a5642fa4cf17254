package org.hornbeamhead.core.outcome;

import java.util.Locale;

/** The reason why a request did not complete. The wire name is the constant's name in lower case with hyphens. */
public enum Reason {
    /** The input is malformed; the findings describe the faults. */
    BAD_REQUEST,
    /** The customer's key is unknown. */
    UNKNOWN_CUSTOMER,
    /** The class, model or service is not permitted for the customer. */
    NOT_ALLOWED,
    /** The pool has no replica that accepts work. */
    NO_REPLICA,
    /** All replicas of the pool are at the request limits that they state. */
    AT_REQUEST_LIMIT,
    /** All replicas of the pool asked for a pause. */
    REPLICAS_PAUSED,
    /** The class's target cannot be met at the present load. */
    OVERLOADED,
    /** The customer exceeds its fair share while others wait. */
    OVER_SHARE,
    /** The router has reached its limit of requests. */
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
    /** The claim's result could not be determined; the request was not dispatched, but its id cannot be used again. */
    CLAIM_IN_DOUBT,
    /** The router that issued the ticket cannot be reached. */
    TICKET_HOLDER_LOST,
    /** The endpoint failed or stopped responding after the request was sent. */
    ENDPOINT_LOST,
    /** The endpoint's response belonged to another request or was out of sequence. */
    CORRUPT_ANSWER,
    /** The attempts or the time were exhausted before an endpoint accepted the request. */
    TRIES_EXHAUSTED,
    /** Replicas terminated while they ran requests with this content. */
    HELD_BACK,
    /** The caller disconnected. */
    CALLER_GONE;

    /**
     * Returns the name used in responses, logs and metrics.
     *
     * @return the wire name, such as {@code no-replica}
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
