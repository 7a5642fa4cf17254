package org.hornbeamhead.gateway.duty;

import com.google.common.flogger.FluentLogger;
import io.activej.promise.Promise;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.state.PlatformStore;
import org.hornbeamhead.gateway.state.PlatformStore.WriteReply;

/**
 * The right to send orders, held by one router at a time under a lease in the store.
 *
 * <p>The fencing token is the revision of the store at which the lease was acquired. It rises with each leader and
 * needs no counter of its own. A leader that releases the lease writes this to the store, together with the rest of the
 * pause since its last order; the next leader waits for that time. When the record vanished with its lease, the last
 * order may have been sent a moment ago, so the next leader waits for the whole pause.
 *
 * <p>The remaining pause is long enough whatever the clocks show: the old leader subtracts the time that has passed on
 * its monotonic clock before it writes and sends no order from then on, and the new leader counts the rest on its own
 * clock from when it received the record. Delays of the write and of its notification, and suspensions of a machine in
 * between, only lengthen the pause.
 */
final class LeaderLease {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    static final String KEY = "hornbeam/duty/weights";
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
    private final StoreMirror mirror;
    private final String self;
    private Optional<Holding> holding = Optional.empty();
    private boolean callPending;
    private Optional<LeaderRecord> record = Optional.empty();
    private long recordReceivedAt;

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
        this.mirror = mirror;
        this.self = self;
        this.recordReceivedAt = clock.monotonicMillis();
        this.record = mirror.get(KEY).flatMap(LeaderLease::parse);
        mirror.addListener(this::onStoreChange);
    }

    private void onStoreChange(StoreItem item) {
        if (item.key().equals(KEY)) {
            logEndOfLeader(item);
            record = parse(item);
            recordReceivedAt = clock.monotonicMillis();
        }
    }

    private void logEndOfLeader(StoreItem item) {
        if (item.removed()) {
            logger.atInfo()
                    .with(Logs.DECISION, "duty vacant")
                    .with(
                            Logs.INPUTS,
                            "revision=" + item.revision() + " holder="
                                    + record.map(LeaderRecord::holder).orElse("unknown"))
                    .log("the leader's record vanished with its lease");
        }
    }

    private static Optional<LeaderRecord> parse(StoreItem item) {
        return item.removed()
                ? Optional.empty()
                : Json.read(item.value(), LeaderRecord.class).toJavaOptional();
    }

    /** Returns the record in the store, as far as this router knows it. */
    Optional<LeaderRecord> record() {
        return record;
    }

    /** Returns the time from which a released lease may be used, empty when it is held or absent. */
    OptionalLong availableFrom() {
        return record().filter(LeaderRecord::released)
                .map(r -> OptionalLong.of(recordReceivedAt + r.waitMillis()))
                .orElse(OptionalLong.empty());
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

    /** Acquires the lease if no router holds it. */
    Promise<Boolean> tryAcquire() {
        if (callPending) {
            return Promise.of(false);
        }
        callPending = true;
        Optional<StoreItem> currentItem = mirror.get(KEY);
        long requestedAt = clock.monotonicMillis();
        long requestedAtWall = clock.wallMillis();
        return store.grant(LEASE_TTL)
                .then(leaseId -> {
                    OptionalLong expected =
                            OptionalLong.of(currentItem.map(StoreItem::revision).orElse(0L));
                    String text = LeaderRecord.heldBy(self).toJson();
                    return store.write(KEY, expected, text, Optional.of(leaseId))
                            .then(reply -> onWriteReply(reply, leaseId, requestedAt, requestedAtWall));
                })
                .whenComplete((v, e) -> callPending = false);
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
        store.write(KEY, OptionalLong.of(h.fencingToken), text, Optional.empty())
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
     * Records that no router holds the lease, after the record was found absent: it was never written or vanished with
     * its lease.
     */
    Promise<Void> markFree() {
        return store.write(
                        KEY,
                        OptionalLong.of(0),
                        LeaderRecord.releasedBy(self, 0).toJson(),
                        Optional.empty())
                .whenComplete((reply, e) -> logger.atInfo()
                        .with(Logs.DECISION, "duty marked free")
                        .with(Logs.INPUTS, "reply=" + (e == null ? reply : e.getMessage()))
                        .log("recording that no router holds the leader lease"))
                .toVoid();
    }
}
