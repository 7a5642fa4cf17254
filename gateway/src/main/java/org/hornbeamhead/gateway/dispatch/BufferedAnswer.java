package org.hornbeamhead.gateway.dispatch;

import java.io.ByteArrayOutputStream;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.gateway.caller.CallerAnswer;

/** A replica's answer that is passed on only once it is whole. */
final class BufferedAnswer {
    private final int status;
    private final Headers headers;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    BufferedAnswer(int status, Headers headers) {
        this.status = status;
        this.headers = headers;
    }

    void add(byte[] bytes) {
        body.writeBytes(bytes);
    }

    void deliver(CallerAnswer answer) {
        answer.respond(status, headers, body.toByteArray());
    }
}
