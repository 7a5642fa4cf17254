package org.hornbeamhead.gateway.dispatch;

import java.io.ByteArrayOutputStream;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.gateway.caller.CallerResponse;

/** A replica's response that is buffered and sent to the caller only once it is complete. */
final class BufferedResponse {
    private final int status;
    private final Headers headers;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    BufferedResponse(int status, Headers headers) {
        this.status = status;
        this.headers = headers;
    }

    void append(byte[] bytes) {
        body.writeBytes(bytes);
    }

    void sendTo(CallerResponse response) {
        response.respond(status, headers, body.toByteArray());
    }
}
