package org.hornbeamhead.gateway.dispatch;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.hornbeamhead.core.http.Header;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.RequestHead;
import org.hornbeamhead.core.http.WholeRequest;

/** The bytes of a request as a replica gets it: method, target and body as the caller sent them, with one length. */
final class RequestMessage {
    private static final int USUAL_HEAD_BYTES = 512;

    private RequestMessage() {}

    /**
     * Writes a request.
     *
     * @param request the caller's request
     * @param headers the header lines for the replica, without length and connection
     * @return the bytes
     */
    static byte[] of(WholeRequest request, Headers headers) {
        RequestHead from = request.head();
        byte[] body = request.body();
        StringBuilder text = new StringBuilder(USUAL_HEAD_BYTES);
        text.append(from.method()).append(' ').append(from.target()).append(" HTTP/1.1\r\n");
        for (Header h : headers.lines()) {
            text.append(h.name()).append(": ").append(h.value()).append("\r\n");
        }
        boolean bodiless = body.length == 0
                && (from.method().equals("GET") || from.method().equals("HEAD"));
        text.append(bodiless ? "\r\n" : "Content-Length: " + body.length + "\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream(text.length() + body.length);
        all.writeBytes(text.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        return all.toByteArray();
    }
}
