package org.hornbeamhead.gateway.state;

import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.HttpReply;

/** Asks other routers for what they know of the store. */
public final class MirrorCalls implements MirrorAsking {
    /** What an answer takes on its way and in a busy process; a reader that needs longer is as good as lost. */
    private static final Duration READERS_LIMIT = Duration.ofMillis(300);
    /** Whoever is asked for want of a better source may be slow. */
    private static final Duration ANYONES_LIMIT = Duration.ofMillis(700);

    private final HttpCaller caller;
    private final Duration limit;

    private MirrorCalls(HttpCaller caller, Duration limit) {
        this.caller = caller;
        this.limit = limit;
    }

    /**
     * Makes calls to the same few readers, over kept connections.
     *
     * @param reactor the thread's reactor
     * @return the calls
     */
    public static MirrorCalls toReaders(NioReactor reactor) {
        return new MirrorCalls(HttpCaller.keepingAlive(reactor), READERS_LIMIT);
    }

    /**
     * Makes calls to any router.
     *
     * @param reactor the thread's reactor
     * @return the calls
     */
    public static MirrorCalls toAnyone(NioReactor reactor) {
        return new MirrorCalls(HttpCaller.connectingAnew(reactor), ANYONES_LIMIT);
    }

    @Override
    public Promise<MirrorAnswer> ask(String peer, long after, Duration wait) {
        String url = "http://" + peer + MirrorServer.PATH + "?after=" + after + "&wait=" + wait.toMillis();
        return caller.call(HttpMethod.GET, url, "", wait.plus(limit)).then(MirrorCalls::decode);
    }

    private static Promise<MirrorAnswer> decode(HttpReply reply) {
        return reply.isOk()
                ? MirrorAnswer.decode(reply.body())
                        .fold(why -> Promise.ofException(new StoreUnavailableException(why)), Promise::of)
                : Promise.ofException(new StoreUnavailableException("the router answered " + reply.status()));
    }
}
