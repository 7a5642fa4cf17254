package org.hornbeamhead.gateway.state;

import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.HttpReply;

/** Asks other routers for what they know of the store. */
public final class HttpMirrorClient implements MirrorClient {
    /** What an answer takes on its way and in a busy process; a reader that needs longer is as good as lost. */
    private static final Duration READER_TIMEOUT = Duration.ofMillis(300);
    /** Whoever is asked for want of a better source may be slow. */
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(700);

    private final HttpCaller caller;
    private final Duration timeout;

    private HttpMirrorClient(HttpCaller caller, Duration limit) {
        this.caller = caller;
        this.timeout = limit;
    }

    /**
     * Makes calls to the same few readers, over kept connections.
     *
     * @param reactor the thread's reactor
     * @return the calls
     */
    public static HttpMirrorClient forReaders(NioReactor reactor) {
        return new HttpMirrorClient(HttpCaller.keepingAlive(reactor), READER_TIMEOUT);
    }

    /**
     * Makes calls to any router.
     *
     * @param reactor the thread's reactor
     * @return the calls
     */
    public static HttpMirrorClient forPeers(NioReactor reactor) {
        return new HttpMirrorClient(HttpCaller.connectingAnew(reactor), PEER_TIMEOUT);
    }

    @Override
    public Promise<MirrorAnswer> fetch(String peer, long after, Duration wait) {
        String url = "http://" + peer + MirrorServer.PATH + "?after=" + after + "&wait=" + wait.toMillis();
        return caller.call(HttpMethod.GET, url, "", wait.plus(timeout)).then(HttpMirrorClient::decode);
    }

    private static Promise<MirrorAnswer> decode(HttpReply reply) {
        return reply.isOk()
                ? MirrorAnswer.decode(reply.body())
                        .fold(why -> Promise.ofException(new StoreUnavailableException(why)), Promise::of)
                : Promise.ofException(new StoreUnavailableException("the router answered " + reply.status()));
    }
}
