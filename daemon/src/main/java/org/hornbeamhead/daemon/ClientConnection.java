package org.hornbeamhead.daemon;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.util.function.Consumer;
import org.hornbeamhead.core.http.BadMessageException;
import org.hornbeamhead.core.http.Bytes;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.core.http.ResponseReader;

/**
 * A connection to a server that carries one call at a time.
 *
 * <p>The response's head is bounded by its reader. Its body is read only as fast as it is consumed, and whoever stops
 * to consume it closes the connection. While the connection is idle, a read is pending, which shows that the server has
 * closed it; a byte that nobody asked for closes it as well.
 */
final class ClientConnection {
    private static final int LAST_STATUS = 599;

    private final ITcpSocket socket;
    private final Consumer<ClientConnection> onReusable;
    private final Runnable onClosed;
    private ResponseReader reader;
    private SettablePromise<HttpResponse> awaited;
    private Body body;
    private boolean requestWritten;
    private boolean extraBytes;
    private boolean closed;

    /**
     * Takes over a connected socket.
     *
     * @param socket the socket
     * @param onReusable called when the response has been read to its end and another call may follow
     * @param onClosed called once
     */
    ClientConnection(ITcpSocket socket, Consumer<ClientConnection> onReusable, Runnable onClosed) {
        this.socket = socket;
        this.onReusable = onReusable;
        this.onClosed = onClosed;
    }

    /** Sends a request and gives the response before its body. The connection must be new or reusable. */
    Promise<HttpResponse> send(String method, byte[] message) {
        SettablePromise<HttpResponse> response = new SettablePromise<>();
        boolean readPending = reader != null;
        awaited = response;
        reader = new ResponseReader(method);
        requestWritten = false;
        socket.write(ByteBuf.wrapForReading(message)).subscribe((v, e) -> {
            requestWritten = true;
            if (e != null) {
                close(e);
            }
        });
        if (!readPending && !closed) {
            read();
        }
        return response;
    }

    private void read() {
        socket.read().subscribe((buf, e) -> {
            if (closed) {
                recycle(buf);
            } else if (e != null) {
                close(e);
            } else if (buf == null) {
                endOfStream();
            } else {
                received(Bytes.of(buf.asArray()));
            }
        });
    }

    private static void recycle(ByteBuf buf) {
        if (buf != null) {
            buf.recycle();
        }
    }

    private void endOfStream() {
        if (body != null && reader.endsAtClose()) {
            Body ended = body;
            body = null;
            close(new IOException("the response has ended"));
            ended.end();
        } else {
            close(new IOException("the server closed the connection"));
        }
    }

    private void received(Bytes input) {
        if (awaited == null && body == null) {
            close(new IOException("bytes came that belong to no response"));
            return;
        }
        try {
            byte[] data = reader.feed(input);
            extraBytes = input.remaining() > 0;
            if (body != null) {
                body.received(data);
            } else if (reader.head().isPresent()) {
                begin(reader.head().get(), data);
            } else {
                read();
            }
        } catch (BadMessageException e) {
            close(e);
        }
    }

    private void begin(ResponseHead head, byte[] data) throws BadMessageException {
        if (head.status() > LAST_STATUS) {
            throw new BadMessageException(head.status(), "the status is out of range");
        }
        HttpResponse.Builder response = HttpResponse.ofCode(head.status());
        head.headers().lines().forEach(h -> response.withHeader(HttpHeaders.of(h.name()), h.value()));
        SettablePromise<HttpResponse> begun = awaited;
        awaited = null;
        if (reader.done()) {
            response.withBody(data);
            responseRead();
        } else {
            body = new Body(data);
            response.withBodyStream(body);
        }
        begun.set(response.build());
    }

    private void responseRead() {
        body = null;
        if (reader.head().orElseThrow().keepAlive() && requestWritten && !extraBytes) {
            read();
            onReusable.accept(this);
        } else {
            close(new IOException("the response has ended"));
        }
    }

    boolean isClosed() {
        return closed;
    }

    /** Closes the connection. A response that is under way fails with the reason. */
    void close(Exception reason) {
        if (closed) {
            return;
        }
        closed = true;
        socket.close();
        onClosed.run();
        if (awaited != null) {
            awaited.setException(reason);
        }
        if (body != null) {
            body.closeEx(reason);
        }
    }

    /** The body of a response. */
    private final class Body extends AbstractChannelSupplier<ByteBuf> {
        private byte[] pending;
        private SettablePromise<ByteBuf> asked;

        Body(byte[] pending) {
            this.pending = pending;
        }

        void received(byte[] data) {
            pending = data;
            answer();
        }

        void end() {
            if (asked != null) {
                asked.set(null);
            }
        }

        @Override
        protected Promise<ByteBuf> doGet() {
            SettablePromise<ByteBuf> next = new SettablePromise<>();
            asked = next;
            answer();
            return next;
        }

        /** Answers if somebody asks, and reads on if there is nothing to answer with. */
        private void answer() {
            if (asked == null) {
                return;
            }
            if (pending.length > 0) {
                byte[] data = pending;
                pending = new byte[0];
                settle(ByteBuf.wrapForReading(data));
            } else if (reader.done()) {
                responseRead();
                settle(null);
            } else {
                read();
            }
        }

        private void settle(ByteBuf data) {
            SettablePromise<ByteBuf> answered = asked;
            asked = null;
            answered.set(data);
        }

        @Override
        protected void onClosed(Exception e) {
            if (asked != null) {
                SettablePromise<ByteBuf> failed = asked;
                asked = null;
                failed.setException(e);
            }
            if (body == this) {
                body = null;
                ClientConnection.this.close(e);
            }
        }
    }
}
