package org.hornbeamhead.core.forward;

/** Why a router itself answers that a request was not run. The constants are label values of metrics. */
public enum RefusalReason {
    /** The router has no configuration yet. */
    NO_CONFIGURATION,
    /** The configuration does not allow the request, or lacks its service, and may be out of date. */
    STALE_CONFIGURATION,
    /** The router is about to end. */
    STOPPING,
    /** The requests in progress take all the memory that the router has for them. */
    REQUEST_MEMORY,
    /** It is not known which software began the stream that is to be resumed. */
    UNKNOWN_STREAM,
    /** The request is beyond its customer's quota. */
    OVER_QUOTA,
    /** Replicas ended under requests with this content or a part of its prompt. */
    QUARANTINED,
    /** The engines are so far behind that the response would be late. */
    ENGINES_BUSY,
    /** The route is deferrable, and more urgent requests need the engines. */
    DEFERRED,
    /** No replica takes the request now. */
    NO_REPLICA,
    /** The replicas that were asked did not run the request. */
    REPLICAS_REFUSED,
    /** Neither this router nor another one has a path to the service. */
    NO_PATH,
    /** The request's time is over. */
    DEADLINE
}
