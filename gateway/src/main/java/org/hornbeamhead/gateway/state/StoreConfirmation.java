package org.hornbeamhead.gateway.state;

import io.activej.promise.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;

/**
 * Confirms that the mirror contains everything that the store has accepted up to now.
 *
 * <p>The mirror lags behind the store, by seconds on a host that is cut off. A conclusion from what the mirror does not
 * contain holds only up to its last confirmation, so whoever draws one asks for another confirmation first.
 * Confirmations that are asked for at the same time share their reads.
 */
public final class StoreConfirmation {
    /** So many confirmations of one router may be under way while the store is slow. */
    private static final int MAX_READS = 50;

    /** Keeps the reads of all routers together, mostly two a confirmation, at a thousand a second. */
    private static final long INTERVAL_MILLIS_PER_ROUTER = 2;
    /** A slow store takes some hundred milliseconds for its answers; one that takes longer counts as away. */
    private static final long TIMEOUT_MILLIS = 400;
    /** The shortest wait for changes that the store may lack. */
    private static final Duration WAIT = Duration.ofMillis(1);

    private final Dependencies dependencies;
    private final Clock clock;
    private final StoreMirror mirror;
    private final RoutingState state;
    private List<Waiter> waiting = new ArrayList<>();
    private long lastReadMillis = Long.MIN_VALUE / 2;
    private boolean readScheduled;
    private int readsInProgress;

    /** One confirmation that was asked for, which ends once. */
    private static final class Waiter {
        private final Consumer<Boolean> listener;
        private boolean ended;

        Waiter(Consumer<Boolean> listener) {
            this.listener = listener;
        }

        void end(boolean confirmed) {
            if (!ended) {
                ended = true;
                listener.accept(confirmed);
            }
        }
    }

    /**
     * The dependencies.
     *
     * @param timers the timers of this thread
     * @param clock the clock
     * @param store the store
     * @param mirror the mirror to confirm
     * @param state the routing state, which records when the mirror was confirmed to be the latest
     * @param suspensionDetector checked before a time is recorded
     * @param routerCount supplies the number of routers, including this one
     * @param storeAway whether the store is known not to answer
     */
    record Dependencies(
            Timers timers,
            Clock clock,
            PlatformStore store,
            StoreMirror mirror,
            RoutingState state,
            SuspensionDetector suspensionDetector,
            IntSupplier routerCount,
            BooleanSupplier storeAway) {}

    /**
     * Creates a confirmation.
     *
     * @param dependencies the dependencies
     */
    StoreConfirmation(Dependencies dependencies) {
        this.dependencies = dependencies;
        this.clock = dependencies.clock();
        this.mirror = dependencies.mirror();
        this.state = dependencies.state();
    }

    /**
     * Asks for a confirmation.
     *
     * @param listener receives whether the mirror contains everything that was accepted before this call; called once,
     *     before this method returns if the store is known to be away
     */
    public void confirm(Consumer<Boolean> listener) {
        if (dependencies.storeAway().getAsBoolean() || mirror.revision() == 0) {
            listener.accept(false);
            return;
        }
        Waiter waiter = new Waiter(listener);
        waiting.add(waiter);
        dependencies.timers().schedule(TIMEOUT_MILLIS, () -> waiter.end(false));
        readLater();
    }

    private void readLater() {
        if (readScheduled || readsInProgress == MAX_READS || waiting.isEmpty()) {
            return;
        }
        long due = lastReadMillis + dependencies.routerCount().getAsInt() * INTERVAL_MILLIS_PER_ROUTER;
        long delay = due - clock.monotonicMillis();
        if (delay > 0) {
            readScheduled = true;
            dependencies.timers().schedule(delay, this::read);
        } else {
            read();
        }
    }

    private void read() {
        readScheduled = false;
        List<Waiter> confirmed = waiting;
        waiting = new ArrayList<>();
        long sent = clock.monotonicMillis();
        lastReadMillis = sent;
        readsInProgress++;
        catchUp(sent).subscribe((complete, e) -> {
            readsInProgress--;
            confirmed.forEach(w -> w.end(e == null && complete));
            readLater();
        });
    }

    /**
     * Reads the changes that the mirror lacks, and up to which revision they have to reach: a watch may be late with
     * changes although it answers.
     */
    private Promise<Boolean> catchUp(long sentMillis) {
        Promise<Long> latest = dependencies.store().readRevision();
        return watch().combine(
                        latest,
                        (reached, revision) ->
                                reached >= revision ? Promise.of(true) : watch().map(later -> later >= revision))
                .then(complete -> complete)
                .map(complete -> complete && markConfirmed(sentMillis));
    }

    /** Applies the changes that the mirror lacks, and returns the revision that it has reached. */
    private Promise<Long> watch() {
        return dependencies.store().watch(mirror.revision(), WAIT).map(changes -> {
            dependencies.suspensionDetector().check();
            mirror.apply(changes);
            return mirror.revision();
        });
    }

    private boolean markConfirmed(long sentMillis) {
        dependencies.suspensionDetector().check();
        state.markCompleteUpTo(sentMillis);
        state.markConfirmed(state.completeUpTo());
        return state.isReliable(sentMillis);
    }
}
