package org.hornbeamhead.gateway.caller;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.hornbeamhead.core.http.Header;
import org.hornbeamhead.core.http.Headers;

/** Writes one response to the connection of a caller. */
final class ResponseWriter implements CallerResponse {
    /** Called once, when the response is complete or aborted or the caller has disconnected. */
    @FunctionalInterface
    interface CompletionListener {
        /** Handles the end of the response; {@code reusable} tells whether the connection may carry another request. */
        void completed(boolean reusable);
    }

    private static final int BAD_GATEWAY = 502;
    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final ITcpSocket socket;
    private final BooleanSupplier keepAliveAllowed;
    private final boolean omitBody;
    private final CompletionListener listener;
    private Runnable onDisconnect = () -> {};
    private Runnable onProcessEnd = () -> fail("the router is about to end");
    private boolean keepAlive;
    private boolean begun;
    private boolean failed;
    private boolean finished;

    ResponseWriter(ITcpSocket socket, BooleanSupplier keepAliveAllowed, boolean omitBody, CompletionListener listener) {
        this.socket = socket;
        this.keepAliveAllowed = keepAliveAllowed;
        this.omitBody = omitBody;
        this.listener = listener;
    }

    @Override
    public void respond(int status, Headers headers, byte[] body) {
        if (finished) {
            return;
        }
        begun = true;
        keepAlive = !failed && keepAliveAllowed.getAsBoolean();
        byte[] bytes = encode(status, headers, body, keepAlive);
        int length = omitBody ? bytes.length - body.length : bytes.length;
        socket.write(ByteBuf.wrap(bytes, 0, length)).subscribe((v, e) -> finish(e == null && keepAlive));
    }

    @Override
    public void begin(int status, Headers headers) {
        if (!finished) {
            begun = true;
            keepAlive = keepAliveAllowed.getAsBoolean();
            socket.write(ByteBuf.wrapForReading(
                    encodeHead(status, headers.with("Transfer-Encoding", "chunked"), keepAlive)));
        }
    }

    @Override
    public Promise<Void> write(byte[] bytes) {
        if (finished || bytes.length == 0) {
            return Promise.complete();
        }
        ByteArrayOutputStream chunk = new ByteArrayOutputStream(bytes.length + 16);
        chunk.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        chunk.writeBytes(bytes);
        chunk.writeBytes(CRLF);
        return socket.write(ByteBuf.wrapForReading(chunk.toByteArray()));
    }

    @Override
    public void end() {
        if (!finished) {
            socket.write(ByteBuf.wrapForReading(LAST_CHUNK)).subscribe((v, e) -> finish(e == null && keepAlive));
        }
    }

    @Override
    public void abort() {
        if (!finished) {
            finish(false);
        }
    }

    /**
     * Ends the response to a request that is given up, and that a replica may have run; the connection is closed.
     *
     * @param reason the reason, sent to the caller unless the response has begun
     */
    void fail(String reason) {
        failed = true;
        if (begun) {
            abort();
        } else {
            byte[] body = (reason + "\n").getBytes(StandardCharsets.UTF_8);
            respond(BAD_GATEWAY, Headers.NONE.with("Content-Type", "text/plain"), body);
        }
    }

    @Override
    public void onDisconnect(Runnable action) {
        onDisconnect = action;
    }

    @Override
    public void onProcessEnd(Runnable action) {
        onProcessEnd = action;
    }

    /** Ends the response since the process is about to end. */
    void endWithProcess() {
        onProcessEnd.run();
    }

    void callerDisconnected() {
        if (!finished) {
            finished = true;
            cancelHandling();
            listener.completed(false);
        }
    }

    /** Stops the handling of the request, whose response is not awaited any more. */
    void cancelHandling() {
        onDisconnect.run();
    }

    /** Returns whether the caller has a part of the response. */
    boolean hasBegun() {
        return begun;
    }

    /** Returns whether the response is complete, or its caller has left. */
    boolean isFinished() {
        return finished;
    }

    private void finish(boolean reusable) {
        if (!finished) {
            finished = true;
            listener.completed(reusable);
        }
    }

    static byte[] encode(int status, Headers headers, byte[] body, boolean keepAlive) {
        ByteArrayOutputStream encoded = new ByteArrayOutputStream(body.length + 256);
        encoded.writeBytes(
                encodeHead(status, headers.with("Content-Length", Integer.toString(body.length)), keepAlive));
        encoded.writeBytes(body);
        return encoded.toByteArray();
    }

    private static byte[] encodeHead(int status, Headers headers, boolean keepAlive) {
        StringBuilder text = new StringBuilder(256);
        text.append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(reasonPhrase(status))
                .append("\r\n");
        for (Header header : headers.lines()) {
            text.append(header.name()).append(": ").append(header.value()).append("\r\n");
        }
        text.append(keepAlive ? "\r\n" : "Connection: close\r\n\r\n");
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String reasonPhrase(int status) {
        return switch (status / 100) {
            case 2 -> "OK";
            case 4 -> "Refused";
            case 5 -> "Failed";
            default -> "Other";
        };
    }
}
