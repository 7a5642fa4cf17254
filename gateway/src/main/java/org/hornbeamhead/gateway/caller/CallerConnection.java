package org.hornbeamhead.gateway.caller;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.hornbeamhead.core.http.BadMessageException;
import org.hornbeamhead.core.http.Bytes;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.RequestReader;
import org.hornbeamhead.core.http.WholeRequest;
import org.hornbeamhead.core.route.CallerLimits;

/**
 * One connection of a caller: reads its requests one after the other, and sees at once when the caller leaves.
 *
 * <p>A read is always pending, also while an answer is under way, since only a read shows that the other end has
 * closed. Bytes of a next request that come meanwhile are kept, up to a limit.
 */
final class CallerConnection {
    /** What a caller may send ahead while its answer is under way; more stays in the socket. */
    private static final int MAX_AHEAD_BYTES = 65_536;

    private static final int REQUEST_TIMEOUT = 408;
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final NioReactor reactor;
    private final ITcpSocket socket;
    private final CallerFront front;
    private final RequestReader reader;
    private final CallerLimits limits;
    private ScheduledRunnable timer;
    private byte[] ahead = new byte[0];
    private AnswerWriter answer;
    private boolean continued;
    private boolean closed;
    private boolean readPaused;

    CallerConnection(NioReactor reactor, ITcpSocket socket, CallerFront front, CallerLimits limits) {
        this.reactor = reactor;
        this.socket = socket;
        this.front = front;
        this.limits = limits;
        this.reader = new RequestReader(limits.headerBytes(), limits.bodyBytes());
    }

    void start() {
        waitIdle();
        read();
    }

    private void read() {
        socket.read().subscribe((buf, e) -> {
            if (closed) {
                recycle(buf);
            } else if (e != null || buf == null) {
                gone();
            } else {
                received(buf.asArray());
            }
        });
    }

    private static void recycle(ByteBuf buf) {
        if (buf != null) {
            buf.recycle();
        }
    }

    private void received(byte[] bytes) {
        if (answer != null) {
            keepAhead(bytes);
        } else {
            parse(bytes);
        }
        if (!closed && !readPaused) {
            read();
        }
    }

    private void keepAhead(byte[] bytes) {
        byte[] joined = Arrays.copyOf(ahead, ahead.length + bytes.length);
        System.arraycopy(bytes, 0, joined, ahead.length, bytes.length);
        ahead = joined;
        readPaused = ahead.length > MAX_AHEAD_BYTES;
    }

    private void parse(byte[] bytes) {
        Bytes in = Bytes.of(bytes);
        boolean began = !reader.insideRequest();
        Optional<WholeRequest> whole;
        try {
            whole = reader.feed(in);
        } catch (BadMessageException e) {
            refuse(e.status(), e.getMessage());
            return;
        }
        if (whole.isPresent()) {
            ahead = in.take(in.remaining());
            handle(whole.get());
            return;
        }
        if (began && reader.insideRequest()) {
            arm(limits.headerTimeoutMillis(), () -> refuse(REQUEST_TIMEOUT, "the request took too long to arrive"));
        }
        if (reader.expectsContinue() && !continued) {
            continued = true;
            socket.write(ByteBuf.wrapForReading(CONTINUE));
        }
    }

    private void handle(WholeRequest request) {
        disarm();
        continued = false;
        boolean asked = request.head().keepAlive();
        answer = new AnswerWriter(
                socket,
                () -> asked && !front.draining(),
                request.head().method().equals("HEAD"),
                this::answered);
        front.began();
        front.handler().handle(request, answer);
    }

    /**
     * The answer is complete, or was broken off.
     *
     * <p>Failure: a stream began before the router was told to stop, so that its head could not announce the end of the
     * connection. Symptom: the caller's next request on it meets a closed connection. It is served once more, and that
     * answer announces the end.
     */
    private void answered(boolean reusable) {
        answer = null;
        front.ended();
        if (closed) {
            return;
        }
        if (!reusable) {
            finish();
            return;
        }
        waitIdle();
        byte[] next = ahead;
        ahead = new byte[0];
        if (next.length > 0) {
            // A new turn of the reactor, so that a caller that sends many requests ahead cannot grow the stack.
            reactor.post(() -> parseNext(next));
        } else {
            resume();
        }
    }

    private void parseNext(byte[] bytes) {
        if (!closed) {
            parse(bytes);
            resume();
        }
    }

    private void resume() {
        if (readPaused && !closed) {
            readPaused = false;
            read();
        }
    }

    private void refuse(int status, String why) {
        closed = true;
        disarm();
        front.refusedUnread(status, why);
        byte[] body = (why + "\n").getBytes(StandardCharsets.UTF_8);
        Headers headers = Headers.NONE.with("Content-Type", "text/plain");
        socket.write(ByteBuf.wrapForReading(AnswerWriter.whole(status, headers, body, false)))
                .subscribe((v, e) -> finish());
    }

    /** Ends the connection in order: what was written still reaches the caller. */
    private void finish() {
        closed = true;
        disarm();
        front.closed(this);
        socket.write(null).subscribe((v, e) -> reactor.delayBackground(CallerFront.LINGER_MILLIS, socket::close));
    }

    private void gone() {
        closed = true;
        disarm();
        front.closed(this);
        socket.close();
        if (answer != null) {
            answer.callerGone();
        }
    }

    void closeIdle() {
        if (!closed && answer == null && !reader.insideRequest()) {
            finish();
        }
    }

    private void waitIdle() {
        arm(limits.idleTimeoutMillis(), this::closeIdle);
    }

    private void arm(long millis, Runnable action) {
        disarm();
        timer = reactor.delayBackground(millis, () -> {
            if (!closed) {
                action.run();
            }
        });
    }

    private void disarm() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
