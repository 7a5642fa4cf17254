package org.hornbeamhead.router;

/** How an attempt at an endpoint failed, which decides what may follow. */
enum AttemptFailure {
    /** No connection could be opened: nothing was sent. */
    NOT_SENT,
    /** The endpoint said that it would not start. */
    REFUSED,
    /** The endpoint fell silent or the connection was cut after the request was sent. */
    LOST,
    /** The endpoint sent what cannot belong to the request. */
    CORRUPT,
    /** The endpoint found fault with the request itself. */
    REJECTED
}
