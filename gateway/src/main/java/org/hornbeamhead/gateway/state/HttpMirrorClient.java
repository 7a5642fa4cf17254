package org.hornbeamhead.gateway.state;

import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.HttpReply;

/** Fetches changes from the mirrors of other routers over HTTP. */
public final class HttpMirrorClient implements MirrorClient {
    /**
     * Time allowed for the transfer of an answer and for a busy process to send it; a slower reader counts as failed.
     */
    private static final Duration READER_TIMEOUT = Duration.ofMillis(300);
    /** Peers are queried only when no better source is available, so they may take longer. */
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(700);

    /** An eighth of the heap of a router: the store as a whole, which is at most as long. */
    private static final int MAX_ANSWER_BYTES = 8 << 20;

    private final HttpCaller caller;
    private final Duration timeout;

    private HttpMirrorClient(HttpCaller caller, Duration limit) {
        this.caller = caller;
        this.timeout = limit;
    }

    /**
     * Creates a client for repeated requests to the same few readers, which keeps connections open.
     *
     * @param reactor the reactor of this thread
     * @return the client
     */
    public static HttpMirrorClient forReaders(NioReactor reactor) {
        return new HttpMirrorClient(HttpCaller.keepingAlive(reactor), READER_TIMEOUT);
    }

    /**
     * Creates a client for requests to any router, which opens a connection for each request.
     *
     * @param reactor the reactor of this thread
     * @return the client
     */
    public static HttpMirrorClient forPeers(NioReactor reactor) {
        return new HttpMirrorClient(HttpCaller.connectingAnew(reactor), PEER_TIMEOUT);
    }

    @Override
    public Promise<MirrorAnswer> fetch(String peer, long after, Duration wait) {
        String url = "http://" + peer + MirrorServer.PATH + "?after=" + after + "&wait=" + wait.toMillis();
        return caller.call(HttpMethod.GET, url, "", wait.plus(timeout), MAX_ANSWER_BYTES)
                .then(HttpMirrorClient::decode);
    }

    private static Promise<MirrorAnswer> decode(HttpReply reply) {
        return reply.isOk()
                ? MirrorAnswer.decode(reply.body())
                        .fold(error -> Promise.ofException(new StoreUnavailableException(error)), Promise::of)
                : Promise.ofException(new StoreUnavailableException("the router answered " + reply.status()));
    }
}
