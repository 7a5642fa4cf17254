package org.hornbeamhead.gateway.dispatch;

import java.util.Arrays;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.gateway.caller.CallerResponse;

/** A replica's response that is buffered, up to a maximum size, and sent to the caller only once it is complete. */
final class BufferedResponse {
    private final int status;
    private final Headers headers;
    private final ResponseBuffers buffers;
    private byte[] body = new byte[0];
    private int size;
    private int accounted;

    /**
     * Creates a response without a body.
     *
     * @param status the status code
     * @param headers the headers
     * @param buffers the memory for all responses
     */
    BufferedResponse(int status, Headers headers, ResponseBuffers buffers) {
        this.status = status;
        this.headers = headers;
        this.buffers = buffers;
    }

    /**
     * Adds bytes of the body.
     *
     * @param bytes the bytes
     * @return false if the response has become too long
     */
    boolean append(byte[] bytes) {
        if (!buffers.grow(size, (long) size + bytes.length)) {
            return false;
        }
        if (size + bytes.length > body.length) {
            body = Arrays.copyOf(body, Math.max(2 * size, size + bytes.length));
        }
        System.arraycopy(bytes, 0, body, size, bytes.length);
        size += bytes.length;
        accounted = size;
        return true;
    }

    /** Gives the memory back to other responses; this one is sent or dropped in the same turn. */
    void release() {
        buffers.release(accounted);
        accounted = 0;
    }

    void sendTo(CallerResponse response) {
        response.respond(status, headers, Arrays.copyOf(body, size));
    }
}
