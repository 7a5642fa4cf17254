package org.hornbeamhead.router;

import org.hornbeamhead.daemon.HttpReply;

/** An attempt at an endpoint failed. */
final class AttemptException extends Exception {
    private static final long serialVersionUID = 1L;

    private final AttemptFailure failure;
    private final transient HttpReply reply;

    AttemptException(AttemptFailure failure, String message) {
        this(failure, message, new HttpReply(0, ""));
    }

    AttemptException(AttemptFailure failure, String message, HttpReply reply) {
        super(message);
        this.failure = failure;
        this.reply = reply;
    }

    AttemptFailure failure() {
        return failure;
    }

    /** The endpoint's answer, when it gave one. */
    HttpReply reply() {
        return reply;
    }
}
