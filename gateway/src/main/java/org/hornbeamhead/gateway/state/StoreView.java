package org.hornbeamhead.gateway.state;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;

/** This router's view of the store: the components that update it and that serve it to other routers. */
public final class StoreView {
    private final StoreFollower follower;
    private final PeerMirrorPoller peerPoller;
    private final MirrorServer server;
    private final StoreConfirmation confirmation;

    /**
     * The dependencies of a view.
     *
     * @param timers the timers of this thread
     * @param clock the clock
     * @param random the source of randomness
     * @param store the store
     * @param mirror the mirror to update
     * @param state the routing state, which records how recent the mirror is
     * @param weights the view of weights, which records when versions were published
     * @param suspensionDetector checked before a time is recorded or reported
     * @param routers the listed routers
     * @param self the name of this router
     * @param peers supplies the addresses of all other routers
     * @param readerClient fetches changes from routers that read the store
     * @param peerClient fetches changes from any other router
     */
    public record Dependencies(
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
     * Creates an empty view.
     *
     * @param p the dependencies
     */
    public StoreView(Dependencies p) {
        MirrorUpdater updater =
                new MirrorUpdater(p.clock(), p.mirror(), p.state(), p.weights(), p.suspensionDetector());
        follower = new StoreFollower(new StoreFollower.Dependencies(
                p.timers(),
                p.clock(),
                p.random(),
                p.store(),
                p.mirror(),
                p.state(),
                p.suspensionDetector(),
                p.routers()::count,
                new ReaderClient(p.clock(), p.routers()::readers, p.self(), p.readerClient()),
                updater));
        peerPoller = new PeerMirrorPoller(
                p.timers(),
                p.clock(),
                p.random(),
                p.peerClient(),
                p.mirror(),
                updater,
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
        confirmation = new StoreConfirmation(new StoreConfirmation.Dependencies(
                p.timers(),
                p.clock(),
                p.store(),
                p.mirror(),
                p.state(),
                p.suspensionDetector(),
                p.routers()::count,
                follower::isDisconnected));
    }

    /** Starts to read the store. */
    public void start() {
        follower.start();
        peerPoller.start();
    }

    /**
     * Confirms that this view contains everything that the store has accepted up to now.
     *
     * @param listener receives whether it does; false if the store does not answer
     */
    public void confirm(Consumer<Boolean> listener) {
        confirmation.confirm(listener);
    }

    /**
     * Collects initial answers of other routers again, as after a start, because the publication times known to this
     * router are unreliable.
     */
    public void restartBootstrap() {
        peerPoller.restartBootstrap();
    }

    /**
     * Records a change that has to be reported to other routers.
     *
     * @param item the changed item
     */
    public void recordChange(StoreItem item) {
        server.recordChange(item);
    }

    /**
     * Handles the request of another router for changes.
     *
     * @param request the request
     * @return the response, as soon as there are changes or the requested wait has ended
     */
    public Promise<HttpResponse> handle(HttpRequest request) {
        return server.handle(request);
    }

    /** Returns what another router would receive; completes when there are changes or the wait has ended. */
    Promise<MirrorAnswer> query(long after, long waitMillis) {
        return server.query(after, waitMillis);
    }

    /**
     * Returns whether neither the store nor a reader answers.
     *
     * @return true from the first failed call to the next successful one
     */
    public boolean isDisconnected() {
        return follower.isDisconnected();
    }

    /**
     * Returns whether the store itself answers this router.
     *
     * @return false while this router waits for changes from another router, or the store does not answer
     */
    public boolean readsStore() {
        return follower.readsStore();
    }

    /**
     * Returns how long removed entries may still be listed again after an outage of the store.
     *
     * @return the time in milliseconds; 0 if removals take effect at once
     */
    public long relistMillis() {
        return follower.relistMillis();
    }
}
