package org.hornbeamhead.gateway.caller;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hornbeamhead.core.http.BadMessageException;
import org.hornbeamhead.core.http.Bytes;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.RequestReader;
import org.hornbeamhead.core.http.WholeRequest;
import org.hornbeamhead.core.route.CallerLimits;

/**
 * One connection of a caller. Reads its requests one after the other and notices immediately when the caller
 * disconnects.
 *
 * <p>A read is always pending, even while a response is written, since only a read shows that the peer has closed the
 * connection. Bytes of the next request that arrive meanwhile are buffered, up to a limit.
 */
final class CallerConnection {
    /** The number of bytes that a caller may pipeline while its response is written; the rest stays in the socket. */
    private static final int MAX_PIPELINED_BYTES = 65_536;

    private static final int REQUEST_TIMEOUT = 408;
    private static final int UNAVAILABLE = 503;
    private static final byte[] CONTINUE_RESPONSE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final NioReactor reactor;
    private final ITcpSocket socket;
    private final CallerServer server;
    private final CallerHandler handler;
    private final Supplier<CallerLimits> currentLimits;
    private final Consumer<ResponseWriter> atEndOfProcess;
    private CallerLimits limits;
    private RequestReader reader;
    private long idleSince;
    private ScheduledRunnable timer;
    private byte[] pipelined = new byte[0];
    private WholeRequest request;
    private long handledSince;
    private ResponseWriter response;
    private int handled;
    private boolean parsePending;
    private boolean continueSent;
    private boolean closed;
    private boolean readPaused;

    CallerConnection(
            NioReactor reactor,
            ITcpSocket socket,
            CallerServer server,
            CallerHandler handler,
            Supplier<CallerLimits> currentLimits,
            Consumer<ResponseWriter> atEndOfProcess) {
        this.reactor = reactor;
        this.socket = socket;
        this.server = server;
        this.handler = handler;
        this.currentLimits = currentLimits;
        this.atEndOfProcess = atEndOfProcess;
    }

    void start() {
        becomeIdle();
        read();
    }

    private void read() {
        socket.read().subscribe((buf, e) -> {
            if (closed) {
                drop(buf);
            } else if (e != null || buf == null) {
                disconnected();
            } else {
                received(buf.asArray());
            }
        });
    }

    private void drop(ByteBuf buf) {
        if (buf != null) {
            server.recordDropped(buf.readRemaining());
            buf.recycle();
        }
    }

    private void received(byte[] bytes) {
        if (response != null || parsePending) {
            bufferPipelined(bytes);
        } else {
            parse(bytes);
        }
        if (!closed && !readPaused) {
            read();
        }
    }

    private void bufferPipelined(byte[] bytes) {
        byte[] combined = Arrays.copyOf(pipelined, pipelined.length + bytes.length);
        System.arraycopy(bytes, 0, combined, pipelined.length, bytes.length);
        pipelined = combined;
        readPaused = pipelined.length > MAX_PIPELINED_BYTES;
    }

    private void parse(byte[] bytes) {
        Bytes input = Bytes.of(bytes);
        boolean startsRequest = !reader.insideRequest();
        if (reader.isUnused()) {
            widenLimits();
            reader = newReader();
        }
        Optional<WholeRequest> read;
        try {
            read = reader.feed(input);
        } catch (BadMessageException e) {
            reject(e.status(), e.getMessage());
            return;
        }
        server.incomplete().update(this, reader.pendingBytes());
        if (closed) {
            return;
        }
        if (read.isPresent()) {
            pipelined = input.take(input.remaining());
            handle(read.get());
            return;
        }
        if (startsRequest && reader.insideRequest()) {
            startTimer(
                    limits.headerTimeoutMillis(), () -> reject(REQUEST_TIMEOUT, "the request took too long to arrive"));
        }
        if (reader.expectsContinue() && !continueSent) {
            continueSent = true;
            socket.write(ByteBuf.wrapForReading(CONTINUE_RESPONSE));
        }
    }

    private void handle(WholeRequest read) {
        cancelTimer();
        request = read;
        handledSince = reactor.currentTimeMillis();
        handled++;
        continueSent = false;
        boolean keepAlive = request.head().keepAlive();
        response = new ResponseWriter(
                socket,
                () -> keepAlive && (!server.draining() || pipelined.length > 0),
                request.head().method().equals("HEAD"),
                this::responseCompleted);
        server.requestStarted(request);
        server.handle(handler, request, response);
    }

    /**
     * Handles the end of a response, complete or aborted.
     *
     * <p>If a stream began before the router was told to stop, its head could not announce that the connection will be
     * closed, and the next request of the caller would meet a closed connection. The connection therefore serves one
     * more request, and that response announces the close.
     */
    private void responseCompleted(boolean reusable) {
        server.requestEnded(request);
        response = null;
        request = null;
        if (closed) {
            return;
        }
        if (!reusable) {
            finish();
            return;
        }
        becomeIdle();
        if (pipelined.length > 0) {
            // Parsed in a new reactor turn, so that a caller that pipelines many requests cannot overflow the stack.
            parsePending = true;
            reactor.post(this::parsePipelined);
        } else {
            resumeReading();
        }
    }

    private void parsePipelined() {
        parsePending = false;
        byte[] bytes = pipelined;
        pipelined = new byte[0];
        if (!closed) {
            parse(bytes);
            resumeReading();
        }
    }

    private void resumeReading() {
        if (readPaused && !closed) {
            readPaused = false;
            read();
        }
    }

    /** Gives up an incomplete request, because those of all callers together take too much memory. */
    void rejectIncomplete() {
        reject(UNAVAILABLE, "too many requests are arriving at once");
    }

    private void reject(int status, String reason) {
        closed = true;
        cancelTimer();
        server.recordRejection(status, reason);
        byte[] body = (reason + "\n").getBytes(StandardCharsets.UTF_8);
        Headers headers = Headers.NONE.with("Content-Type", "text/plain");
        socket.write(ByteBuf.wrapForReading(ResponseWriter.encode(status, headers, body, false)))
                .subscribe((v, e) -> finish());
    }

    /** Closes the connection gracefully: data already written still reaches the caller. */
    private void finish() {
        closed = true;
        cancelTimer();
        server.connectionClosed(this);
        if (pipelined.length > 0) {
            server.recordDropped(pipelined.length);
        }
        socket.write(null).subscribe((v, e) -> reactor.delayBackground(CallerServer.LINGER_MILLIS, socket::close));
    }

    private void disconnected() {
        closeNow();
        if (response != null) {
            response.callerDisconnected();
        }
    }

    /**
     * Closes the connection without reading on, so that a request which crosses the close is reset and its caller knows
     * that it was not read.
     */
    private void closeNow() {
        closed = true;
        cancelTimer();
        server.connectionClosed(this);
        socket.close();
    }

    /** Ends the request in progress, if there is one, since the process is about to end. */
    void endRequest() {
        if (response != null) {
            ResponseWriter ended = response;
            server.recordUnfinished(
                    request, (ended.hasBegun() ? "cut" : "ended"), reactor.currentTimeMillis() - handledSince);
            atEndOfProcess.accept(ended);
            ended.cancelHandling();
        }
    }

    /** Closes the connection if it is idle and its socket holds no request, which would have been read by then. */
    void closeIdle() {
        int handledBefore = handled;
        if (isIdle()) {
            server.afterPendingReads(() -> {
                if (isIdle() && handled == handledBefore) {
                    closeNow();
                }
            });
        }
    }

    /** Returns whether a request is in progress or arriving, or may follow since the connection was used just now. */
    boolean isInUse() {
        return !closed && (!isIdle() || reactor.currentTimeMillis() - idleSince < CallerServer.REUSE_MILLIS);
    }

    private boolean isIdle() {
        return !closed && response == null && !parsePending && !reader.insideRequest();
    }

    private void becomeIdle() {
        idleSince = reactor.currentTimeMillis();
        limits = currentLimits.get();
        reader = newReader();
        startTimer(limits.idleTimeoutMillis(), this::idleTimerExpired);
    }

    private void idleTimerExpired() {
        widenLimits();
        long remaining = idleSince + limits.idleTimeoutMillis() - reactor.currentTimeMillis();
        if (remaining > 0) {
            startTimer(remaining, this::idleTimerExpired);
        } else {
            closeIdle();
        }
    }

    private RequestReader newReader() {
        return new RequestReader(limits.maxHeaderBytes(), limits.maxBodyBytes());
    }

    /** A caller may know the limits in force now, or only those in force when its last request ended. */
    private void widenLimits() {
        limits = limits.max(currentLimits.get());
    }

    private void startTimer(long millis, Runnable action) {
        cancelTimer();
        timer = reactor.delayBackground(millis, () -> {
            if (!closed) {
                action.run();
            }
        });
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
