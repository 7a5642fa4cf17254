package org.hornbeamhead.core.route;

/** Whether a request may be repeated. */
public enum RequestKind {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /** The request may run at most once. */
    NOT_IDEMPOTENT,
    /** The response is an event stream, which can be resumed only if the route is resumable. */
    STREAM
}
