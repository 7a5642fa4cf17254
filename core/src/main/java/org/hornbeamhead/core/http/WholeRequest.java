package org.hornbeamhead.core.http;

/** A complete request. */
public final class WholeRequest {
    private final RequestHead head;
    private final byte[] body;

    WholeRequest(RequestHead head, byte[] body) {
        this.head = head;
        this.body = body;
    }

    /**
     * Returns the request head.
     *
     * @return the head
     */
    public RequestHead head() {
        return head;
    }

    /**
     * Returns the body.
     *
     * @return the decoded body bytes; not copied
     */
    public byte[] body() {
        return body;
    }
}
