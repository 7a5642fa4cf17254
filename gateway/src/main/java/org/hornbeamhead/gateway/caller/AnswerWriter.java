package org.hornbeamhead.gateway.caller;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.hornbeamhead.core.http.Header;
import org.hornbeamhead.core.http.Headers;

/** Writes one answer to a caller's connection. */
final class AnswerWriter implements CallerAnswer {
    /** Tells whether the connection may carry another request. */
    @FunctionalInterface
    interface End {
        void answered(boolean reusable);
    }

    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final ITcpSocket socket;
    private final BooleanSupplier mayKeep;
    private final boolean bodiless;
    private final End end;
    private Runnable onGone = () -> {};
    private boolean keepAlive;
    private boolean over;

    AnswerWriter(ITcpSocket socket, BooleanSupplier mayKeep, boolean bodiless, End end) {
        this.socket = socket;
        this.mayKeep = mayKeep;
        this.bodiless = bodiless;
        this.end = end;
    }

    @Override
    public void respond(int status, Headers headers, byte[] body) {
        if (over) {
            return;
        }
        keepAlive = mayKeep.getAsBoolean();
        byte[] bytes = whole(status, headers, body, keepAlive);
        int length = bodiless ? bytes.length - body.length : bytes.length;
        socket.write(ByteBuf.wrap(bytes, 0, length)).subscribe((v, e) -> finish(e == null && keepAlive));
    }

    @Override
    public void begin(int status, Headers headers) {
        if (!over) {
            keepAlive = mayKeep.getAsBoolean();
            socket.write(ByteBuf.wrapForReading(head(status, headers.with("Transfer-Encoding", "chunked"), keepAlive)));
        }
    }

    @Override
    public Promise<Void> write(byte[] bytes) {
        if (over || bytes.length == 0) {
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
        if (!over) {
            socket.write(ByteBuf.wrapForReading(LAST_CHUNK)).subscribe((v, e) -> finish(e == null && keepAlive));
        }
    }

    @Override
    public void abort() {
        if (!over) {
            finish(false);
        }
    }

    @Override
    public void onGone(Runnable action) {
        onGone = action;
    }

    void callerGone() {
        if (!over) {
            over = true;
            onGone.run();
            end.answered(false);
        }
    }

    private void finish(boolean reusable) {
        if (!over) {
            over = true;
            end.answered(reusable);
        }
    }

    static byte[] whole(int status, Headers headers, byte[] body, boolean keepAlive) {
        ByteArrayOutputStream all = new ByteArrayOutputStream(body.length + 256);
        all.writeBytes(head(status, headers.with("Content-Length", Integer.toString(body.length)), keepAlive));
        all.writeBytes(body);
        return all.toByteArray();
    }

    private static byte[] head(int status, Headers headers, boolean keepAlive) {
        StringBuilder text = new StringBuilder(256);
        text.append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(reason(status))
                .append("\r\n");
        for (Header h : headers.lines()) {
            text.append(h.name()).append(": ").append(h.value()).append("\r\n");
        }
        text.append(keepAlive ? "\r\n" : "Connection: close\r\n\r\n");
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String reason(int status) {
        return switch (status / 100) {
            case 2 -> "OK";
            case 4 -> "Refused";
            case 5 -> "Failed";
            default -> "Other";
        };
    }
}
