package org.hornbeamhead.gateway.state;

import io.activej.promise.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.hornbeamhead.core.mirror.StoreChanges;
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
    /** Keeps the reads of all routers together, two a confirmation, at a thousand a second. */
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
    private boolean readPending;

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
        if (readPending || waiting.isEmpty()) {
            return;
        }
        readPending = true;
        long due = lastReadMillis + dependencies.routerCount().getAsInt() * INTERVAL_MILLIS_PER_ROUTER;
        long delay = due - clock.monotonicMillis();
        if (delay > 0) {
            dependencies.timers().schedule(delay, this::read);
        } else {
            read();
        }
    }

    private void read() {
        List<Waiter> confirmed = waiting;
        waiting = new ArrayList<>();
        long sent = clock.monotonicMillis();
        lastReadMillis = sent;
        catchUp(sent).subscribe((complete, e) -> {
            readPending = false;
            confirmed.forEach(w -> w.end(e == null && complete));
            readLater();
        });
    }

    /**
     * Reads the changes that the mirror lacks. A watch may be late with changes although it answers, so what it has to
     * reach is read first.
     */
    private Promise<Boolean> catchUp(long sentMillis) {
        return dependencies
                .store()
                .readRevision()
                .then(revision -> mirror.revision() >= revision
                        ? Promise.of(true)
                        : dependencies.store().watch(mirror.revision(), WAIT).map(changes -> apply(changes, revision)))
                .map(complete -> complete && markConfirmed(sentMillis));
    }

    private boolean apply(StoreChanges changes, long revision) {
        dependencies.suspensionDetector().check();
        mirror.apply(changes);
        return changes.revision() >= revision;
    }

    private boolean markConfirmed(long sentMillis) {
        dependencies.suspensionDetector().check();
        state.markCompleteUpTo(sentMillis);
        state.markConfirmed(state.completeUpTo());
        return state.isReliable(sentMillis);
    }
}
