package org.hornbeamhead.gateway.state;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;

/** This router's view of the store: what keeps it up, and what tells others of it. */
public final class StoreView {
    private final StoreFollower follower;
    private final PeerMirrorPoller peerPoller;
    private final MirrorServer server;

    /**
     * What a view works with.
     *
     * @param timers the thread's timers
     * @param clock the clock
     * @param random the source of randomness
     * @param store the store
     * @param mirror the mirror to keep up
     * @param state told how new the mirror is
     * @param weights told when versions were named
     * @param suspensions looked at before a time is counted or told
     * @param routers the listed routers
     * @param self this router's name
     * @param anyone the addresses at which any other router may be asked
     * @param askReader asks a router that reads the store
     * @param askAnyone asks any other router
     */
    public record Parts(
            Timers timers,
            Clock clock,
            RandomGenerator random,
            PlatformStore store,
            StoreMirror mirror,
            RoutingState state,
            WeightsView weights,
            SuspensionDetector suspensionDetector,
            RouterList routers,
            String self,
            Supplier<List<String>> peers,
            MirrorClient readerClient,
            MirrorClient peerClient) {}

    /**
     * Makes a view that knows nothing yet.
     *
     * @param p what it works with
     */
    public StoreView(Parts p) {
        MirrorUpdater intake = new MirrorUpdater(p.clock(), p.mirror(), p.state(), p.weights(), p.suspensionDetector());
        follower = new StoreFollower(new StoreFollower.Parts(
                p.timers(),
                p.clock(),
                p.random(),
                p.store(),
                p.mirror(),
                p.state(),
                p.suspensionDetector(),
                p.routers()::count,
                new ReaderClient(p.clock(), p.routers()::readers, p.self(), p.readerClient()),
                intake));
        peerPoller = new PeerMirrorPoller(
                p.timers(),
                p.clock(),
                p.random(),
                p.peerClient(),
                p.mirror(),
                intake,
                p.weights(),
                follower::isBehind,
                p.peers());
        server = new MirrorServer(
                p.timers(),
                p.clock(),
                p.mirror(),
                p.state(),
                p.weights(),
                p.suspensionDetector(),
                follower::readsStore,
                follower::relistMillis);
    }

    /** Begins to read. */
    public void start() {
        follower.start();
        peerPoller.start();
    }

    /** Asks other routers again, as after a start: what this one knew of times is in doubt. */
    public void restartBootstrap() {
        peerPoller.restartBootstrap();
    }

    /**
     * Notes a change that other routers have to hear of.
     *
     * @param item the changed item
     */
    public void recordChange(StoreItem item) {
        server.recordChange(item);
    }

    /**
     * Answers another router's question for changes.
     *
     * @param request the question
     * @return the answer, when there is something to tell
     */
    public Promise<HttpResponse> handle(HttpRequest request) {
        return server.handle(request);
    }

    /** Asks as other routers do; completes when there is something to tell. */
    Promise<MirrorAnswer> query(long after, long waitMillis) {
        return server.query(after, waitMillis);
    }

    /**
     * Tells whether neither the store nor a reader of it answers.
     *
     * @return true from the first failed call to the next good one
     */
    public boolean isDisconnected() {
        return follower.isDisconnected();
    }

    /**
     * Tells whether the store itself answers this router.
     *
     * @return false while it waits at another router, or the store does not answer
     */
    public boolean readsStore() {
        return follower.readsStore();
    }

    /**
     * Tells how long the removal of an entry may still turn out to be the work of an outage.
     *
     * @return milliseconds; zero when removals are to be believed at once
     */
    public long relistMillis() {
        return follower.relistMillis();
    }
}
