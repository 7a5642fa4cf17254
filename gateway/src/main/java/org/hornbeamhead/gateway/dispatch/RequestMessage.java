package org.hornbeamhead.gateway.dispatch;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.hornbeamhead.core.http.Header;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.RequestHead;
import org.hornbeamhead.core.http.WholeRequest;

/** Encodes requests for replicas: the method, target and body of the caller, with exactly one content length. */
final class RequestMessage {
    private static final int INITIAL_HEAD_BYTES = 512;

    private RequestMessage() {}

    /**
     * Encodes a request.
     *
     * @param request the caller's request
     * @param headers the headers for the replica, without content length and connection headers
     * @return the encoded request
     */
    static byte[] encode(WholeRequest request, Headers headers) {
        RequestHead head = request.head();
        byte[] body = request.body();
        StringBuilder text = new StringBuilder(INITIAL_HEAD_BYTES);
        text.append(head.method()).append(' ').append(head.target()).append(" HTTP/1.1\r\n");
        for (Header header : headers.lines()) {
            text.append(header.name()).append(": ").append(header.value()).append("\r\n");
        }
        boolean omitLength = body.length == 0
                && (head.method().equals("GET") || head.method().equals("HEAD"));
        text.append(omitLength ? "\r\n" : "Content-Length: " + body.length + "\r\n\r\n");
        ByteArrayOutputStream encoded = new ByteArrayOutputStream(text.length() + body.length);
        encoded.writeBytes(text.toString().getBytes(StandardCharsets.ISO_8859_1));
        encoded.writeBytes(body);
        return encoded.toByteArray();
    }
}
