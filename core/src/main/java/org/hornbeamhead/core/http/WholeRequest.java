package org.hornbeamhead.core.http;

/** A request that has come whole. */
public final class WholeRequest {
    private final RequestHead head;
    private final byte[] body;

    WholeRequest(RequestHead head, byte[] body) {
        this.head = head;
        this.body = body;
    }

    /**
     * Returns the head.
     *
     * @return the head
     */
    public RequestHead head() {
        return head;
    }

    /**
     * Returns the body.
     *
     * @return the bytes, without their framing; not copied
     */
    public byte[] body() {
        return body;
    }
}
