package org.hornbeamhead.gateway.duty;

import java.util.function.IntSupplier;
import org.hornbeamhead.core.time.Clock;

/** Takes the duty when it is needed and free, one router after the other, and knows from when on it may be used. */
final class DutySeeker {
    /** How much later each further router tries to take the duty, so that one try at a time is made. */
    private static final long RANK_MILLIS = 250;

    private final Clock clock;
    private final DutyLease lease;
    private final IntSupplier rank;
    private final long apartMillis;
    private final Runnable taken;
    private long absentSince = -1;
    private long neededSince = -1;
    private long orderNotBefore;

    /**
     * Makes a seeker.
     *
     * @param clock the clock
     * @param lease the right to order
     * @param rank this router's place in the order in which routers try, from 0
     * @param apartMillis how long orders of two holders must be apart, in milliseconds
     * @param taken called when the duty is won
     */
    DutySeeker(Clock clock, DutyLease lease, IntSupplier rank, long apartMillis, Runnable taken) {
        this.clock = clock;
        this.lease = lease;
        this.rank = rank;
        this.apartMillis = apartMillis;
        this.taken = taken;
    }

    /** Notes whether there is something to order, also while the duty is held. */
    void note(boolean needed) {
        neededSince = needed ? (neededSince < 0 ? now() : neededSince) : -1;
    }

    /** When the first order may be given with the duty that was won. */
    long orderNotBefore() {
        return orderNotBefore;
    }

    void seek(boolean needed) {
        if (lease.record().isPresent()) {
            absentSince = -1;
            if (needed && myTurn(neededSince)) {
                lease.freeFrom().ifPresent(this::take);
            }
            return;
        }
        absentSince = absentSince < 0 ? now() : absentSince;
        boolean longAbsent = now() - absentSince > apartMillis;
        if (needed && myTurn(Math.max(neededSince, absentSince))) {
            take(absentSince + apartMillis - DutyLease.MARGIN_MILLIS);
        } else if (!needed && longAbsent && myTurn(absentSince + apartMillis)) {
            lease.markFree().subscribe((v, e) -> absentSince = -1);
        }
    }

    private boolean myTurn(long since) {
        return now() - since >= rank.getAsInt() * RANK_MILLIS;
    }

    private void take(long notBefore) {
        lease.take().subscribe((won, e) -> {
            if (e == null && won) {
                orderNotBefore = notBefore;
                taken.run();
            } else {
                neededSince = now();
            }
        });
    }

    private long now() {
        return clock.monotonicMillis();
    }
}
