package org.hornbeamhead.gateway.duty;

import com.google.common.flogger.FluentLogger;
import io.activej.promise.Promise;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.state.PlatformStore;
import org.hornbeamhead.gateway.state.PlatformStore.WriteReply;
import org.hornbeamhead.gateway.state.StoreTransaction;
import org.hornbeamhead.gateway.state.StoreTransaction.KeyWrite;

/**
 * The right to send orders, held by one router at a time under a lease in the store.
 *
 * <p>The fencing token is the revision of the store at which the lease was acquired. It rises with each leader and
 * needs no counter of its own. A leader that releases the lease writes this to the store, together with the rest of the
 * pause since its last order; the next leader waits for that time. When the record vanished with its lease, the last
 * order may have been sent a moment ago, so the next leader waits for the whole pause. {@link LeaderLeaseView} tells
 * from when it counts.
 *
 * <p>The remaining pause is long enough whatever the clocks show: the old leader subtracts the time that has passed on
 * its monotonic clock before it writes and sends no order from then on, and the new leader counts the rest on its own
 * clock from when it received the record. Delays of the write and of its notification, and suspensions of a machine in
 * between, only lengthen the pause.
 */
final class LeaderLease {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * Short, so that another router takes over soon after the leader was killed. Renewals are cheap and are made only
     * while the lease is held.
     */
    private static final Duration LEASE_TTL = Duration.ofSeconds(1);

    private static final long RENEWAL_INTERVAL_MILLIS = 250;
    /**
     * The leader sends orders only while this much of the lease is left, to allow for the delay of an order and for
     * clocks that run at different rates.
     */
    static final long SAFETY_MARGIN_MILLIS = 300;

    private final Clock clock;
    private final PlatformStore store;
    private final LeaderLeaseView view;
    private final String self;
    private Optional<Holding> holding = Optional.empty();
    private boolean callPending;

    private static final class Holding {
        private final String leaseId;
        private final long fencingToken;
        private long validUntil;
        private long validUntilWall;
        private long renewedAt;

        Holding(String leaseId, long fencingToken) {
            this.leaseId = leaseId;
            this.fencingToken = fencingToken;
        }
    }

    LeaderLease(Clock clock, PlatformStore store, StoreMirror mirror, String self) {
        this.clock = clock;
        this.store = store;
        this.view = new LeaderLeaseView(clock, mirror);
        this.self = self;
    }

    /** Returns what this router knows of the lease, whoever holds it. */
    LeaderLeaseView view() {
        return view;
    }

    /**
     * Returns the fencing token while the lease may be used.
     *
     * <p>When the leader's machine is suspended, its lease expires and another router takes over; if the first one then
     * went on, replicas would get orders from two routers. The monotonic clock may not count a suspension, so the wall
     * clock must agree as well. If both are wrong, replicas refuse the old leader's orders because of the number of
     * accepted orders that each order expects.
     */
    OptionalLong fencingToken() {
        return holding.filter(h -> clock.monotonicMillis() < h.validUntil && clock.wallMillis() < h.validUntilWall)
                .map(h -> OptionalLong.of(h.fencingToken))
                .orElse(OptionalLong.empty());
    }

    boolean isHeld() {
        return holding.isPresent();
    }

    /** Acquires the lease, unless another router has acquired or released it since this router's view. */
    Promise<Boolean> tryAcquire() {
        if (callPending) {
            return Promise.of(false);
        }
        callPending = true;
        LeaderLeaseView.Revisions seen = view.revisions();
        long requestedAt = clock.monotonicMillis();
        long requestedAtWall = clock.wallMillis();
        return store.grant(LEASE_TTL)
                .then(leaseId -> store.commit(acquisition(seen, leaseId))
                        .then(reply -> onWriteReply(reply, leaseId, requestedAt, requestedAtWall)))
                .whenComplete((v, e) -> callPending = false);
    }

    /**
     * Writes the term and the record. The record is last because the reply has the revision of the last key, and the
     * release expects the revision of the record.
     */
    private StoreTransaction acquisition(LeaderLeaseView.Revisions seen, String leaseId) {
        return new StoreTransaction(
                seen.toExpected(),
                List.of(
                        new KeyWrite(LeaderLeaseView.TERM_KEY, self, Optional.empty()),
                        new KeyWrite(
                                LeaderLeaseView.RECORD_KEY,
                                LeaderRecord.heldBy(self).toJson(),
                                Optional.of(leaseId))));
    }

    private Promise<Boolean> onWriteReply(WriteReply reply, String leaseId, long requestedAt, long requestedAtWall) {
        if (reply instanceof WriteReply.Written written) {
            Holding h = new Holding(leaseId, written.revision());
            extendValidity(h, requestedAt, requestedAtWall);
            holding = Optional.of(h);
            logger.atInfo()
                    .with(Logs.DECISION, "duty taken")
                    .with(Logs.INPUTS, "fence=" + written.revision())
                    .log("leader lease acquired, this router runs the rollout of weights");
            return Promise.of(true);
        }
        // The outcome of the write may be unknown. Ending the lease removes the key if it was written.
        return store.revoke(leaseId).map(v -> false);
    }

    private static void extendValidity(Holding h, long requestedAt, long requestedAtWall) {
        h.renewedAt = requestedAt;
        h.validUntil = requestedAt + LEASE_TTL.toMillis() - SAFETY_MARGIN_MILLIS;
        h.validUntilWall = requestedAtWall + LEASE_TTL.toMillis() - SAFETY_MARGIN_MILLIS;
    }

    /** Renews the lease when a renewal is due. */
    void renewIfDue() {
        if (holding.isEmpty() || callPending) {
            return;
        }
        Holding h = holding.get();
        if (fencingToken().isEmpty()) {
            markLost("the lease may have expired");
            return;
        }
        long requestedAt = clock.monotonicMillis();
        long requestedAtWall = clock.wallMillis();
        if (requestedAt - h.renewedAt < RENEWAL_INTERVAL_MILLIS) {
            return;
        }
        callPending = true;
        store.renew(h.leaseId).subscribe((alive, e) -> {
            callPending = false;
            if (e == null && alive) {
                extendValidity(h, requestedAt, requestedAtWall);
            } else if (e == null) {
                markLost("the lease has expired");
            }
        });
    }

    private void markLost(String reason) {
        holding = Optional.empty();
        logger.atWarning()
                .with(Logs.DECISION, "duty lost")
                .with(Logs.REASON, reason)
                .log("leader lease lost");
    }

    /**
     * Releases the lease and stops using it at once.
     *
     * <p>A target version may be set while the write is pending. If an order were sent then, the next leader would
     * count the pause from an earlier order, and replicas would get orders from two routers within the pause. When the
     * write fails, the record vanishes with its lease.
     *
     * @param waitMillis how long the next leader has to wait, in milliseconds from now
     */
    void release(long waitMillis) {
        if (holding.isEmpty() || callPending) {
            return;
        }
        Holding h = holding.get();
        holding = Optional.empty();
        callPending = true;
        String text = LeaderRecord.releasedBy(self, waitMillis).toJson();
        store.write(LeaderLeaseView.RECORD_KEY, OptionalLong.of(h.fencingToken), text, Optional.empty())
                .subscribe((reply, e) -> {
                    callPending = false;
                    store.revoke(h.leaseId);
                    logger.atInfo()
                            .with(Logs.DECISION, "duty given back")
                            .with(
                                    Logs.INPUTS,
                                    "waitMillis=" + waitMillis + " reply=" + (e == null ? reply : e.getMessage()))
                            .log("leader lease released");
                });
    }

    /**
     * Records that no router holds the lease and that the pause is over.
     *
     * <p>The write may be executed late. It expects the term in which the pause was counted, so that it cannot take
     * effect after a later leader.
     */
    void markFree() {
        String text = LeaderRecord.releasedBy(self, 0).toJson();
        KeyWrite write = new KeyWrite(LeaderLeaseView.RECORD_KEY, text, Optional.empty());
        store.commit(new StoreTransaction(view.revisions().toExpected(), List.of(write)))
                .subscribe((reply, e) -> logger.atInfo()
                        .with(Logs.DECISION, "duty marked free")
                        .with(Logs.INPUTS, "reply=" + (e == null ? reply : e.getMessage()))
                        .log("recording that no router holds the leader lease"));
    }
}
