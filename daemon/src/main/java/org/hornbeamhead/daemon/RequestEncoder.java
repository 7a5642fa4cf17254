package org.hornbeamhead.daemon;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/** Writes requests as they are sent. */
final class RequestEncoder {
    /** Servers may wait for a body if these have no length. */
    private static final Set<HttpMethod> WITH_BODY = Set.of(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH);

    private RequestEncoder() {}

    static byte[] encode(HttpRequest request, boolean keepAlive) {
        byte[] body = request.hasBody() ? request.takeBody().asArray() : new byte[0];
        StringBuilder head = new StringBuilder()
                .append(request.getMethod().name())
                .append(' ')
                .append(request.getPathAndQuery())
                .append(" HTTP/1.1\r\n");
        addField(head, "Host", request.getHostAndPort());
        addField(head, "Connection", keepAlive ? "keep-alive" : "close");
        request.getHeaders()
                .forEach(h -> addField(head, h.getKey().toString(), h.getValue().toString()));
        if (body.length > 0 || WITH_BODY.contains(request.getMethod())) {
            addField(head, "Content-Length", Integer.toString(body.length));
        }
        head.append("\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream(head.length() + body.length);
        message.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.writeBytes(body);
        return message.toByteArray();
    }

    private static void addField(StringBuilder head, String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
}
