package org.hornbeamhead.gateway.replica;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Predicate;
import org.hornbeamhead.core.http.BadMessageException;
import org.hornbeamhead.core.http.Bytes;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.core.http.ResponseReader;

/**
 * One connection to a replica, with one request at a time.
 *
 * <p>A read is always pending. Failure: a replica closes an idle connection, or sends a second answer on it. Symptom:
 * the next request is lost, or gets another request's answer. Bytes or an end that nobody waits for close the
 * connection, and an answer that names another request is skipped.
 */
public final class ReplicaConnection {
    private static final SocketSettings SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).build();
    private static final long DEFAULT_IDLE_MILLIS = 4_000;
    /** The replica counts its idle time from its own last byte; a request sent this late could cross its close. */
    private static final double USED_PART_OF_IDLE = 0.5;

    private static final int MILLIS = 1_000;

    private final ITcpSocket socket;
    private final Runnable onClosed;
    private ReplicaListener listener;
    private Predicate<ResponseHead> belongs;
    private String method;
    private ResponseReader reader;
    private boolean headGiven;
    private boolean written;
    private boolean closed;
    private boolean keepAlive = true;
    private long idleMillis = DEFAULT_IDLE_MILLIS;
    private long idleSince;

    private ReplicaConnection(ITcpSocket socket, Runnable onClosed) {
        this.socket = socket;
        this.onClosed = onClosed;
    }

    /**
     * Opens a connection.
     *
     * @param reactor the thread's reactor
     * @param address the replica
     * @param timeout how long opening may take
     * @param onClosed called once when the connection is closed
     * @return the connection
     */
    static Promise<ReplicaConnection> open(
            NioReactor reactor, InetSocketAddress address, Duration timeout, Runnable onClosed) {
        return TcpSocket.connect(reactor, address, timeout, SETTINGS).map(socket -> {
            ReplicaConnection connection = new ReplicaConnection(socket, onClosed);
            connection.read();
            return connection;
        });
    }

    /**
     * Sends a request.
     *
     * @param message the whole request
     * @param requestMethod its method
     * @param belongsTo tells from a head whether the answer belongs to this request
     * @param hears hears the answer
     */
    public void send(byte[] message, String requestMethod, Predicate<ResponseHead> belongsTo, ReplicaListener hears) {
        method = requestMethod;
        belongs = belongsTo;
        listener = hears;
        written = false;
        nextAnswer();
        socket.write(ByteBuf.wrapForReading(message)).subscribe((v, e) -> {
            written = true;
            if (e != null) {
                breakOff("the request could not be written: " + e.getMessage());
            }
        });
    }

    private void nextAnswer() {
        reader = new ResponseReader(method);
        headGiven = false;
    }

    private void read() {
        socket.read().subscribe((buf, e) -> {
            if (closed) {
                if (buf != null) {
                    buf.recycle();
                }
            } else if (e != null) {
                breakOff("the connection was reset: " + e.getMessage());
            } else if (buf == null) {
                ended();
            } else {
                received(Bytes.of(buf.asArray()));
            }
        });
    }

    private void ended() {
        if (listener != null && reader.endsAtClose() && headGiven) {
            ReplicaListener l = listener;
            listener = null;
            close();
            l.whole();
        } else {
            breakOff("the replica closed the connection");
        }
    }

    private void received(Bytes in) {
        if (listener == null) {
            close();
            return;
        }
        byte[] body;
        try {
            body = reader.feed(in);
        } catch (BadMessageException e) {
            breakOff("no answer in the protocol: " + e.getMessage());
            return;
        }
        if (reader.head().isEmpty()) {
            read();
            return;
        }
        ResponseHead head = reader.head().get();
        if (!belongs.test(head)) {
            skip(in);
            return;
        }
        giveHead(head);
        if (closed) {
            return;
        }
        deliver(body, in.remaining() > 0);
    }

    /** An answer to an earlier request came late; the one that is waited for follows it. */
    private void skip(Bytes in) {
        if (!reader.done()) {
            if (reader.endsAtClose()) {
                breakOff("an answer to another request came, without its length");
            } else {
                read();
            }
            return;
        }
        nextAnswer();
        if (in.remaining() > 0) {
            received(in);
        } else {
            read();
        }
    }

    private void giveHead(ResponseHead head) {
        if (!headGiven) {
            headGiven = true;
            keepAlive = head.keepAlive();
            idleMillis = idleTimeout(head);
            listener.head(head);
        }
    }

    private static long idleTimeout(ResponseHead head) {
        return head.headers()
                .first("Keep-Alive")
                .filter(v -> v.startsWith("timeout="))
                .map(v -> v.substring("timeout=".length()).split(",", -1)[0].trim())
                .filter(v -> !v.isEmpty() && v.length() < 6 && v.chars().allMatch(Character::isDigit))
                .map(v -> Long.parseLong(v) * MILLIS)
                .orElse(DEFAULT_IDLE_MILLIS);
    }

    private void deliver(byte[] body, boolean extra) {
        ReplicaListener l = listener;
        if (l == null) {
            return;
        }
        l.body(body).subscribe((v, e) -> {
            if (closed) {
                return;
            }
            if (e != null) {
                close();
            } else if (reader.done()) {
                finish(extra);
            } else {
                read();
            }
        });
    }

    private void finish(boolean extra) {
        ReplicaListener l = listener;
        listener = null;
        // Bytes after the answer, or an answer before the whole request was read, leave the connection out of step.
        if (extra || !keepAlive || !written) {
            close();
        } else {
            read();
        }
        l.whole();
    }

    private void breakOff(String why) {
        if (closed) {
            return;
        }
        ReplicaListener l = listener;
        listener = null;
        close();
        if (l != null) {
            l.broken(why);
        }
    }

    /** Closes the connection; a request under way is given up without a word to its listener. */
    public void close() {
        if (!closed) {
            closed = true;
            listener = null;
            socket.close();
            onClosed.run();
        }
    }

    void idleFrom(long nowMillis) {
        idleSince = nowMillis;
    }

    /**
     * Tells whether a request may be sent without meeting the replica's close.
     *
     * @param nowMillis the monotonic time
     * @param atMostIdle the longest idle time that the request may risk, in milliseconds
     * @return whether the connection is open and was used lately
     */
    boolean usable(long nowMillis, long atMostIdle) {
        long idle = nowMillis - idleSince;
        return !closed && idle < idleMillis * USED_PART_OF_IDLE && idle < atMostIdle;
    }

    boolean isClosed() {
        return closed;
    }
}
