package org.hornbeamhead.gateway.duty;

import com.google.common.flogger.FluentLogger;
import java.util.function.IntSupplier;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;

/**
 * Acquires the leader lease when it is needed and free, and computes when the new leader may send its first order.
 * Routers try one after the other, in the order of their rank.
 */
final class LeaderElection {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The delay per rank before a router tries to acquire the lease, so that only one router tries at a time. */
    private static final long RANK_DELAY_MILLIS = 250;

    private final Clock clock;
    private final LeaderLease lease;
    private final IntSupplier rank;
    private final long handoverPauseMillis;
    private final Runnable onAcquired;
    private long neededSince = -1;
    private long earliestOrderAt;
    private long nextMarkFreeAt;

    /**
     * Creates an election in which this router does not take part yet.
     *
     * @param clock the clock
     * @param lease the leader lease
     * @param rank this router's place in the order in which routers try to acquire the lease, from 0
     * @param handoverPauseMillis the minimum time between the orders of two leaders, in milliseconds
     * @param onAcquired called when this router has acquired the lease
     */
    LeaderElection(Clock clock, LeaderLease lease, IntSupplier rank, long handoverPauseMillis, Runnable onAcquired) {
        this.clock = clock;
        this.lease = lease;
        this.rank = rank;
        this.handoverPauseMillis = handoverPauseMillis;
        this.onAcquired = onAcquired;
    }

    /** Records whether there are orders to send. Must be called while the lease is held as well. */
    void recordNeed(boolean needed) {
        neededSince = needed ? (neededSince < 0 ? now() : neededSince) : -1;
    }

    /** Returns the time from which the leader that acquired the lease may send orders. */
    long earliestOrderAt() {
        return earliestOrderAt;
    }

    /**
     * Acquires the lease if it is needed, or records that it is free, when this router's turn has come.
     *
     * @param needed whether there are orders to send
     */
    void tryAcquire(boolean needed) {
        LeaderLeaseView view = lease.view();
        if (view.record().isEmpty()) {
            view.observeVacancy().ifPresent(since -> endVacancy(needed, since));
        } else if (needed && isOwnTurn(neededSince)) {
            view.availableFrom().ifPresent(this::acquire);
        }
    }

    private void endVacancy(boolean needed, long since) {
        long pauseEnd = since + handoverPauseMillis;
        if (needed && isOwnTurn(Math.max(neededSince, since))) {
            acquire(pauseEnd - LeaderLease.SAFETY_MARGIN_MILLIS);
        } else if (!needed && isOwnTurn(Math.max(pauseEnd, nextMarkFreeAt))) {
            nextMarkFreeAt = now() + handoverPauseMillis;
            lease.markFree();
        }
    }

    private boolean isOwnTurn(long since) {
        return now() - since >= rank.getAsInt() * RANK_DELAY_MILLIS;
    }

    private void acquire(long earliestOrder) {
        String basis = describeBasis();
        lease.tryAcquire().subscribe((acquired, e) -> {
            if (e == null && acquired) {
                earliestOrderAt = earliestOrder;
                logPause(basis);
                onAcquired.run();
            } else {
                neededSince = now();
            }
        });
    }

    /** Returns from what this router counts the pause before its first order. */
    private String describeBasis() {
        LeaderLeaseView view = lease.view();
        return view.record()
                .map(r -> "releasedBy=" + r.holder() + " waitMillis=" + r.waitMillis())
                .orElseGet(
                        () -> "vacantMillis=" + (now() - view.observeVacancy().orElse(now())) + " term="
                                + view.revisions().term());
    }

    private void logPause(String basis) {
        logger.atInfo()
                .with(Logs.DECISION, "pause of new leader")
                .with(Logs.INPUTS, basis + " firstOrderInMillis=" + Math.max(0, earliestOrderAt - now()))
                .log("orders may be sent after the rest of the pause");
    }

    private long now() {
        return clock.monotonicMillis();
    }
}
