package org.hornbeamhead.core.route;

/** What may be done again with a request. */
public enum RequestKind {
    /** It may run any number of times. */
    IDEMPOTENT,
    /** It may run once at most. */
    NOT_IDEMPOTENT,
    /** Its answer is a stream of events; it may be continued only where its route says so. */
    STREAM
}
