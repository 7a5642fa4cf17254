package org.hornbeamhead.core.http;

/** A complete request. */
public final class WholeRequest {
    private final RequestHead head;
    private final byte[] body;

    /**
     * Creates a request.
     *
     * @param head the head
     * @param body the decoded body; not copied
     */
    public WholeRequest(RequestHead head, byte[] body) {
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
     * Returns the same request with other headers.
     *
     * @param headers the headers
     * @return the changed request
     */
    public WholeRequest withHeaders(Headers headers) {
        return new WholeRequest(new RequestHead(head.method(), head.target(), headers, head.keepAlive()), body);
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
