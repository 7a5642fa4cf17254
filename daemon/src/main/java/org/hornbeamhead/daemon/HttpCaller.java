package org.hornbeamhead.daemon;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.hornbeamhead.core.settings.Addresses;

/** HTTP calls to IP numbers, with a limit on the time and on the bytes of each. */
public final class HttpCaller {
    /** Between daemons that run: a connection opens in some milliseconds, or its first packet was lost. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private static final SocketSettings SOCKET_SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).build();
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(20);
    /** Reports, orders and refusals take some hundred bytes. */
    private static final int MAX_SHORT_REPLY_BYTES = 1 << 16;

    private final NioReactor reactor;
    private final Duration connectTimeout;
    private final ConnectionPool pool;

    private HttpCaller(NioReactor reactor, Duration connectTimeout, Duration keepAlive) {
        this.reactor = reactor;
        this.connectTimeout = connectTimeout;
        this.pool = new ConnectionPool(reactor, keepAlive);
    }

    /**
     * Makes a caller that keeps connections for further calls.
     *
     * @param reactor the thread's reactor
     * @return the caller
     */
    public static HttpCaller keepingAlive(NioReactor reactor) {
        return new HttpCaller(reactor, CONNECT_TIMEOUT, KEEP_ALIVE);
    }

    /**
     * Makes a caller that opens a new connection for each call.
     *
     * <p>Failure: something between the two ends has lost track of a kept connection; what is sent on it is never
     * answered. Symptom: a request sent again on a sibling connection is silent too. A new connection is known to work,
     * and that it cannot be opened is proof that nothing was sent.
     *
     * @param reactor the thread's reactor
     * @return the caller
     */
    public static HttpCaller connectingAnew(NioReactor reactor) {
        return connectingAnew(reactor, CONNECT_TIMEOUT);
    }

    /**
     * Makes a caller that opens a new connection for each call, and waits for it as long as its calls may take.
     *
     * <p>Failure: a command's first call comes while its process still loads classes on a busy host. Symptom: the
     * connection is up, the process notices it after more than a second, and the command ends with an error that the
     * store does not answer, though its calls may take five.
     *
     * @param reactor the thread's reactor
     * @param connectTimeout how long a connection may take to open
     * @return the caller
     */
    public static HttpCaller connectingAnew(NioReactor reactor, Duration connectTimeout) {
        return new HttpCaller(reactor, connectTimeout, Duration.ZERO);
    }

    /**
     * Sends a request and gives the response before its body. The body must be loaded, or read to its end, or closed.
     *
     * @param request the request; its body, if any, is whole
     * @param timeout how long the response's head may take
     * @return the response; fails with {@link ConnectException} when no connection was opened, so that nothing was sent
     */
    public Promise<HttpResponse> open(HttpRequest request, Duration timeout) {
        PendingCall call = new PendingCall();
        return Promises.timeout(timeout, connect(request.getHostAndPort()).then(c -> call.send(c, request)))
                .whenException(call::abort);
    }

    private Promise<ClientConnection> connect(String address) {
        return Addresses.parse(address).fold(why -> Promise.ofException(new IOException(why)), this::connect);
    }

    private Promise<ClientConnection> connect(InetSocketAddress address) {
        return pool.take(address).map(Promise::of).orElseGet(() -> TcpSocket.connect(
                        reactor, address, connectTimeout, SOCKET_SETTINGS)
                .map(socket -> pool.connected(address, socket)));
    }

    /** A call whose response has not begun. Its connection is closed when it is aborted. */
    private final class PendingCall {
        private ClientConnection connection;
        private Exception aborted;

        Promise<HttpResponse> send(ClientConnection opened, HttpRequest request) {
            connection = opened;
            if (aborted != null) {
                opened.close(aborted);
                return Promise.ofException(aborted);
            }
            return opened.send(request.getMethod().name(), RequestEncoder.encode(request, pool.keepsConnections()));
        }

        void abort(Exception reason) {
            aborted = reason;
            if (connection != null) {
                connection.close(reason);
            }
        }
    }

    /**
     * Makes a call and loads the whole answer, which is short.
     *
     * @param method the method
     * @param url the URL with an IP number
     * @param body the body; empty to send none
     * @param timeout how long the whole call may take
     * @return the answer; fails with {@link ConnectException} when no connection was opened, so that nothing was sent
     */
    public Promise<HttpReply> call(HttpMethod method, String url, String body, Duration timeout) {
        return call(method, url, body, timeout, MAX_SHORT_REPLY_BYTES);
    }

    /**
     * Makes a call and loads the whole answer. The connection is closed if the answer takes longer, or is longer.
     *
     * @param method the method
     * @param url the URL with an IP number
     * @param body the body; empty to send none
     * @param timeout how long the whole call may take
     * @param maxReplyBytes how long the answer's body may be
     * @return the answer; fails with {@link ConnectException} when no connection was opened, so that nothing was sent,
     *     and with {@link ReplyTooLongException} when the answer is too long
     */
    public Promise<HttpReply> call(HttpMethod method, String url, String body, Duration timeout, int maxReplyBytes) {
        HttpRequest.Builder request = HttpRequest.builder(method, url);
        if (!body.isEmpty()) {
            request.withHeader(HttpHeaders.CONTENT_TYPE, "application/json");
            request.withBody(body.getBytes(StandardCharsets.UTF_8));
        }
        long deadline = reactor.currentTimeMillis() + timeout.toMillis();
        return open(request.build(), timeout)
                .then(response -> load(
                        response,
                        Duration.ofMillis(Math.max(1, deadline - reactor.currentTimeMillis())),
                        maxReplyBytes));
    }

    /**
     * Loads a response's body, which is short.
     *
     * @param response the response
     * @param timeout how long the body may take
     * @return status and body
     */
    public static Promise<HttpReply> load(HttpResponse response, Duration timeout) {
        return load(response, timeout, MAX_SHORT_REPLY_BYTES);
    }

    /**
     * Loads a response's body. The connection is closed if the body takes longer, or is longer.
     *
     * @param response the response
     * @param timeout how long the body may take
     * @param maxBytes how long the body may be
     * @return status and body; fails with {@link ReplyTooLongException} when the body is too long
     */
    public static Promise<HttpReply> load(HttpResponse response, Duration timeout, int maxBytes) {
        return loadBytes(response, timeout, maxBytes)
                .map(bytes -> new HttpReply(response.getCode(), new String(bytes, StandardCharsets.UTF_8)));
    }

    /**
     * Loads a response's body as {@link #load(HttpResponse, Duration, int)} does, but not as text.
     *
     * @param response the response
     * @param timeout how long the body may take
     * @param maxBytes how long the body may be
     * @return the body; fails with {@link ReplyTooLongException} when it is too long
     */
    public static Promise<byte[]> loadBytes(HttpResponse response, Duration timeout, int maxBytes) {
        ChannelSupplier<ByteBuf> body = response.takeBodyStream();
        Promise<byte[]> whole = ChannelSupplier.collect(
                body,
                new ByteArrayOutputStream(),
                (bytes, buf) -> append(bytes, buf, maxBytes),
                ByteArrayOutputStream::toByteArray);
        return Promises.timeout(timeout, whole).whenException(body::closeEx);
    }

    private static void append(ByteArrayOutputStream bytes, ByteBuf buf, int maxBytes) throws ReplyTooLongException {
        if (buf.readRemaining() > maxBytes - bytes.size()) {
            buf.recycle();
            throw new ReplyTooLongException(maxBytes);
        }
        bytes.writeBytes(buf.asArray());
    }
}
