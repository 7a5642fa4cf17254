package org.hornbeamhead.gateway.replica;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.MemSize;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Duration;
import java.util.function.Predicate;
import org.hornbeamhead.core.http.BadMessageException;
import org.hornbeamhead.core.http.Bytes;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.core.http.ResponseReader;

/**
 * A connection to a replica that carries one request at a time.
 *
 * <p>A read is always pending, because a replica may close an idle connection or send a second response on it.
 * Unnoticed, the next request would be lost or get the response to another request. Unexpected bytes or the end of the
 * stream close the connection, and a response that names another request is skipped.
 */
public final class ReplicaConnection {
    /** What the kernel may hold of a response; systems that tune this let it grow to many megabytes a connection. */
    private static final MemSize RECEIVE_BUFFER = MemSize.kilobytes(256);

    static final SocketSettings SOCKET_SETTINGS = SocketSettings.builder()
            .withTcpNoDelay(true)
            .withReceiveBufferSize(RECEIVE_BUFFER)
            .build();
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 4_000;
    /**
     * The replica counts its idle time from the last byte that it sent. A request that is sent after this part of the
     * idle timeout could cross the replica's close.
     */
    private static final double REUSABLE_IDLE_FRACTION = 0.5;

    private static final int MILLIS_PER_SECOND = 1_000;
    /** How much of late responses to earlier requests is skipped before one of them counts as endless. */
    private static final int MAX_SKIPPED_BYTES = 1 << 16;

    /**
     * A reset that belongs to the end of a response arrives within this time after it: the replica closed without
     * having read the whole request, or was killed while it wrote.
     */
    private static final long RESET_WAIT_MILLIS = 30;

    private final NioReactor reactor;
    private final TcpSocket socket;
    private final Runnable onClosed;
    private ResponseListener listener;
    private Predicate<ResponseHead> matchesRequest;
    private String method;
    private ResponseReader reader;
    private boolean headDelivered;
    private int skippedBytes;
    private boolean requestWritten;
    private boolean received;
    private boolean closed;
    private boolean keepAlive = true;
    private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
    private long idleSince;

    private ReplicaConnection(NioReactor reactor, TcpSocket socket, Runnable onClosed) {
        this.reactor = reactor;
        this.socket = socket;
        this.onClosed = onClosed;
    }

    /**
     * Opens a connection.
     *
     * @param reactor the thread's reactor
     * @param address the replica's address
     * @param timeout the connect timeout
     * @param onClosed called once when the connection is closed
     * @return the connection
     */
    static Promise<ReplicaConnection> open(
            NioReactor reactor, InetSocketAddress address, Duration timeout, Runnable onClosed) {
        return TcpSocket.connect(reactor, address, timeout, SOCKET_SETTINGS).map(socket -> {
            ReplicaConnection connection = new ReplicaConnection(reactor, socket, onClosed);
            connection.read();
            return connection;
        });
    }

    /**
     * Sends a request.
     *
     * @param message the whole request
     * @param requestMethod the method of the request
     * @param matches tests by its head whether a response belongs to this request
     * @param responseListener receives the response
     */
    public void send(
            byte[] message, String requestMethod, Predicate<ResponseHead> matches, ResponseListener responseListener) {
        method = requestMethod;
        matchesRequest = matches;
        listener = responseListener;
        requestWritten = false;
        received = false;
        skippedBytes = 0;
        expectResponse();
        socket.write(ByteBuf.wrapForReading(message)).subscribe((v, e) -> {
            requestWritten = true;
            if (e != null) {
                fail("the request could not be written: " + e.getMessage());
            }
        });
    }

    private void expectResponse() {
        reader = new ResponseReader(method);
        headDelivered = false;
    }

    private void read() {
        socket.read().subscribe((buf, e) -> {
            if (closed) {
                if (buf != null) {
                    buf.recycle();
                }
            } else if (e != null) {
                fail("the connection was reset: " + e.getMessage());
            } else if (buf == null) {
                onEndOfStream();
            } else {
                received = true;
                onBytes(Bytes.of(buf.asArray()));
            }
        });
    }

    private void onEndOfStream() {
        if (listener == null || !headDelivered || !reader.endsAtClose()) {
            fail("the replica closed the connection");
        } else if (reader.head().filter(ResponseHead::ok).isEmpty()) {
            endResponse();
        } else if (!requestWritten) {
            fail("the replica closed the connection before it had the whole request");
        } else {
            reactor.delayBackground(RESET_WAIT_MILLIS, this::endUnlessReset);
        }
    }

    /** Ends a response without a length, unless the connection was reset after its orderly end. */
    private void endUnlessReset() {
        if (closed) {
            return;
        }
        if (isReset()) {
            fail("the connection was reset at the end of the answer");
        } else {
            endResponse();
        }
    }

    private void endResponse() {
        ResponseListener currentListener = listener;
        listener = null;
        close();
        currentListener.onEndOfConnection();
    }

    /**
     * Returns whether the connection was reset. After the end of the stream a read does not tell. The system reports an
     * error for any interest, even for one that an open connection never has.
     */
    private boolean isReset() {
        try (Selector selector = Selector.open()) {
            SelectionKey key = socket.getSocketChannel().register(selector, SelectionKey.OP_CONNECT);
            selector.selectNow();
            return key.isConnectable();
        } catch (IOException e) {
            return true;
        }
    }

    private void onBytes(Bytes input) {
        if (listener == null) {
            close();
            return;
        }
        int available = input.remaining();
        byte[] body;
        try {
            body = reader.feed(input);
        } catch (BadMessageException e) {
            fail("no answer in the protocol: " + e.getMessage());
            return;
        }
        if (reader.head().isEmpty()) {
            read();
            return;
        }
        ResponseHead head = reader.head().get();
        if (!matchesRequest.test(head)) {
            skipResponse(input, available - input.remaining());
            return;
        }
        deliverHead(head);
        if (closed) {
            return;
        }
        deliverBody(body, input.remaining() > 0);
    }

    /** Skips a late response to an earlier request; the expected one follows it. */
    private void skipResponse(Bytes input, int count) {
        skippedBytes += count;
        if (skippedBytes > MAX_SKIPPED_BYTES) {
            fail("an answer to another request came, of more than " + MAX_SKIPPED_BYTES + " bytes");
            return;
        }
        if (!reader.done()) {
            if (reader.endsAtClose()) {
                fail("an answer to another request came, without its length");
            } else {
                read();
            }
            return;
        }
        expectResponse();
        if (input.remaining() > 0) {
            onBytes(input);
        } else {
            read();
        }
    }

    private void deliverHead(ResponseHead head) {
        if (!headDelivered) {
            headDelivered = true;
            keepAlive = head.keepAlive();
            idleTimeoutMillis = idleTimeout(head);
            listener.onHead(head);
        }
    }

    private static long idleTimeout(ResponseHead head) {
        return head.headers()
                .first("Keep-Alive")
                .filter(v -> v.startsWith("timeout="))
                .map(v -> v.substring("timeout=".length()).split(",", -1)[0].trim())
                .filter(v -> !v.isEmpty() && v.length() < 6 && v.chars().allMatch(Character::isDigit))
                .map(v -> Long.parseLong(v) * MILLIS_PER_SECOND)
                .orElse(DEFAULT_IDLE_TIMEOUT_MILLIS);
    }

    private void deliverBody(byte[] body, boolean hasExtraBytes) {
        ResponseListener currentListener = listener;
        if (currentListener == null) {
            return;
        }
        currentListener.onBody(body).subscribe((v, e) -> {
            if (closed) {
                return;
            }
            if (e != null) {
                close();
            } else if (reader.done()) {
                completeResponse(hasExtraBytes);
            } else {
                read();
            }
        });
    }

    private void completeResponse(boolean hasExtraBytes) {
        ResponseListener currentListener = listener;
        listener = null;
        // After bytes that follow the response, or a response that came before the whole request was written, the
        // connection cannot be reused.
        if (hasExtraBytes || !keepAlive || !requestWritten) {
            close();
        } else {
            read();
        }
        currentListener.onComplete();
    }

    private void fail(String reason) {
        if (closed) {
            return;
        }
        ResponseListener currentListener = listener;
        listener = null;
        close();
        if (currentListener != null) {
            currentListener.onFailure(reason);
        }
    }

    /**
     * Gives the rest of the response in progress to another listener.
     *
     * @param nextListener receives what the replaced listener has not received
     */
    void continueWith(ResponseListener nextListener) {
        listener = nextListener;
    }

    /** Closes the connection. The listener of a request in progress is not notified. */
    public void close() {
        if (!closed) {
            closed = true;
            listener = null;
            socket.close();
            onClosed.run();
        }
    }

    /**
     * Returns whether anything was received since the last request was sent.
     *
     * @return true from the first byte on, whatever it belongs to
     */
    public boolean hasReceived() {
        return received;
    }

    void markIdle(long nowMillis) {
        idleSince = nowMillis;
    }

    /**
     * Returns whether a request may be sent on this connection without the risk that the replica is closing it.
     *
     * @param nowMillis the monotonic time
     * @param atMostIdle the longest idle time that is acceptable for the request, in milliseconds
     * @return whether the connection is open and was used recently enough
     */
    boolean isReusable(long nowMillis, long atMostIdle) {
        long idle = nowMillis - idleSince;
        return !closed && idle < idleTimeoutMillis * REUSABLE_IDLE_FRACTION && idle < atMostIdle;
    }

    /**
     * Returns whether the connection is closed, by this router or by the replica.
     *
     * @return false as long as the replica keeps it open
     */
    public boolean isClosed() {
        return closed;
    }
}
