package org.hornbeamhead.daemon;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsProtocol;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsQueryException;
import io.activej.dns.protocol.DnsResponse;
import io.activej.dns.protocol.DnsTransaction;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.IHttpClient;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** HTTP calls to IP numbers, with a time limit on each. */
public final class HttpCaller {
    /** Between daemons that run: a connection opens in some milliseconds, or its first packet was lost. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration KEEP_ALIVE = Duration.ofSeconds(20);
    private static final int MAX_REPLY_BYTES = 16 << 20;

    private final IHttpClient client;

    private HttpCaller(IHttpClient client) {
        this.client = client;
    }

    /**
     * Makes a caller that keeps connections for further calls.
     *
     * @param reactor the thread's reactor
     * @return the caller
     */
    public static HttpCaller keepingAlive(NioReactor reactor) {
        return new HttpCaller(HttpClient.builder(reactor, new NumbersOnly())
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withKeepAliveTimeout(KEEP_ALIVE)
                .build());
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
        return new HttpCaller(HttpClient.builder(reactor, new NumbersOnly())
                .withConnectTimeout(connectTimeout)
                .withNoKeepAlive()
                .build());
    }

    /**
     * Sends a request and gives the response before its body.
     *
     * @param request the request
     * @param timeout how long the response's head may take
     * @return the response; fails with {@link ConnectException} when no connection was opened, so that nothing was sent
     */
    public Promise<HttpResponse> open(HttpRequest request, Duration timeout) {
        return Promises.timeout(timeout, send(request));
    }

    /** The library wraps the failure of a connection, and so hides that nothing was sent. */
    private Promise<HttpResponse> send(HttpRequest request) {
        return client.request(request)
                .then(
                        Promise::of,
                        e -> Promise.ofException(e.getCause() instanceof ConnectException refused ? refused : e));
    }

    /**
     * Makes a call and loads the whole answer.
     *
     * @param method the method
     * @param url the URL with an IP number
     * @param body the body; empty to send none
     * @param timeout how long the whole call may take
     * @return the answer; fails with {@link ConnectException} when no connection was opened, so that nothing was sent
     */
    public Promise<HttpReply> call(HttpMethod method, String url, String body, Duration timeout) {
        HttpRequest.Builder request = HttpRequest.builder(method, url);
        if (!body.isEmpty()) {
            request.withHeader(HttpHeaders.CONTENT_TYPE, "application/json");
            request.withBody(body.getBytes(StandardCharsets.UTF_8));
        }
        return Promises.timeout(timeout, send(request.build()).then(HttpCaller::load));
    }

    /**
     * Loads a response's body.
     *
     * @param response the response
     * @return status and body
     */
    public static Promise<HttpReply> load(HttpResponse response) {
        return response.loadBody(MAX_REPLY_BYTES)
                .map(body -> new HttpReply(response.getCode(), body.getString(StandardCharsets.UTF_8)));
    }

    /** Resolves nothing: addresses are IP numbers. */
    private static final class NumbersOnly implements IDnsClient {
        @Override
        public Promise<DnsResponse> resolve(DnsQuery query) {
            DnsResponse response = IDnsClient.resolveFromQuery(query);
            return response != null
                    ? Promise.of(response)
                    : Promise.ofException(new DnsQueryException(DnsResponse.ofFailure(
                            DnsTransaction.of((short) 0, query), DnsProtocol.ResponseErrorCode.NAME_ERROR)));
        }

        @Override
        public void close() {
            // Nothing is open.
        }
    }
}
