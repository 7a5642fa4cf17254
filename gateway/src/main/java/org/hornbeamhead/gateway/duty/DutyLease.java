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
 * The right to give orders, held by one router at a time under a lease in the store.
 *
 * <p>The fencing number is the store's revision at which the right was won, so it rises with each holder without a
 * counter of its own. A holder gives the right back by writing so, and how much is left of the pause since its last
 * order: whoever takes it waits so long first. A right that vanished with its lease may have been used until just now:
 * whoever takes it waits out the whole pause.
 *
 * <p>The rest of the pause is enough on any clock: the holder counts what has passed on its monotonic clock before it
 * writes, and gives no order from then on; the next one counts the rest on its own from when it heard. What the write
 * and its news take on their way, and what a machine stands still meanwhile, only add to the pause.
 */
final class DutyLease {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    static final String KEY = "hornbeam/duty/weights";
    /**
     * Short, so that the duty moves on soon after its holder was killed; renewals are cheap and only made while held.
     */
    private static final Duration TTL = Duration.ofSeconds(1);

    private static final long RENEW_MILLIS = 250;
    /** The holder acts only while this much of the lease is left, for the order's way and for clocks that run apart. */
    static final long MARGIN_MILLIS = 300;

    private final Clock clock;
    private final PlatformStore store;
    private final StoreMirror mirror;
    private final String self;
    private Optional<Held> held = Optional.empty();
    private boolean busy;
    private Optional<DutyRecord> record = Optional.empty();
    private long heardAt;

    private static final class Held {
        private final String lease;
        private final long fence;
        private long validUntil;
        private long validUntilWall;
        private long renewedAt;

        Held(String lease, long fence) {
            this.lease = lease;
            this.fence = fence;
        }
    }

    DutyLease(Clock clock, PlatformStore store, StoreMirror mirror, String self) {
        this.clock = clock;
        this.store = store;
        this.mirror = mirror;
        this.self = self;
        this.heardAt = clock.monotonicMillis();
        this.record = mirror.get(KEY).flatMap(DutyLease::read);
        mirror.addListener(this::heard);
    }

    private void heard(StoreItem item) {
        if (item.key().equals(KEY)) {
            record = read(item);
            heardAt = clock.monotonicMillis();
        }
    }

    private static Optional<DutyRecord> read(StoreItem item) {
        return item.removed()
                ? Optional.empty()
                : Json.read(item.value(), DutyRecord.class).toJavaOptional();
    }

    /** What the store says about the right, as far as this router knows. */
    Optional<DutyRecord> record() {
        return record;
    }

    /** From when on a right that was given back may be used; empty when it is held or absent. */
    OptionalLong freeFrom() {
        return record().filter(DutyRecord::released)
                .map(r -> OptionalLong.of(heardAt + r.waitMillis()))
                .orElse(OptionalLong.empty());
    }

    /**
     * Returns the fencing number while the right may be used.
     *
     * <p>Failure: the holder's machine stands still, the lease ends, another router takes over, and the first goes on.
     * Symptom: replicas get orders of two routers. A machine that stood still may not see it on the monotonic clock, so
     * the wall clock must agree; where both are wrong, the number of orders that each order expects makes the replica
     * refuse the old holder's.
     */
    OptionalLong fence() {
        return held.filter(h -> clock.monotonicMillis() < h.validUntil && clock.wallMillis() < h.validUntilWall)
                .map(h -> OptionalLong.of(h.fence))
                .orElse(OptionalLong.empty());
    }

    boolean isHeld() {
        return held.isPresent();
    }

    /** Takes the right, if nobody has it. */
    Promise<Boolean> take() {
        if (busy) {
            return Promise.of(false);
        }
        busy = true;
        Optional<StoreItem> seen = mirror.get(KEY);
        long sent = clock.monotonicMillis();
        long sentWall = clock.wallMillis();
        return store.grant(TTL)
                .then(lease -> {
                    OptionalLong expected =
                            OptionalLong.of(seen.map(StoreItem::revision).orElse(0L));
                    String text = DutyRecord.held(self).text();
                    return store.write(KEY, expected, text, Optional.of(lease))
                            .then(reply -> taken(reply, lease, sent, sentWall));
                })
                .whenComplete((v, e) -> busy = false);
    }

    private Promise<Boolean> taken(WriteReply reply, String lease, long sent, long sentWall) {
        if (reply instanceof WriteReply.Written written) {
            Held h = new Held(lease, written.revision());
            extend(h, sent, sentWall);
            held = Optional.of(h);
            logger.atInfo()
                    .with(Logs.DECISION, "duty taken")
                    .with(Logs.INPUTS, "fence=" + written.revision())
                    .log("this router brings replicas to the named weights");
            return Promise.of(true);
        }
        // A write in doubt may have taken the key; ending the lease removes it again.
        return store.revoke(lease).map(v -> false);
    }

    private static void extend(Held h, long sent, long sentWall) {
        h.renewedAt = sent;
        h.validUntil = sent + TTL.toMillis() - MARGIN_MILLIS;
        h.validUntilWall = sentWall + TTL.toMillis() - MARGIN_MILLIS;
    }

    /** Renews the lease when it is time. */
    void keep() {
        if (held.isEmpty() || busy) {
            return;
        }
        Held h = held.get();
        if (fence().isEmpty()) {
            lose("the lease may have ended");
            return;
        }
        long sent = clock.monotonicMillis();
        long sentWall = clock.wallMillis();
        if (sent - h.renewedAt < RENEW_MILLIS) {
            return;
        }
        busy = true;
        store.renew(h.lease).subscribe((alive, e) -> {
            busy = false;
            if (e == null && alive) {
                extend(h, sent, sentWall);
            } else if (e == null) {
                lose("the lease has ended");
            }
        });
    }

    private void lose(String why) {
        held = Optional.empty();
        logger.atWarning()
                .with(Logs.DECISION, "duty lost")
                .with(Logs.REASON, why)
                .log("the duty is lost");
    }

    /**
     * Gives the right back, and uses it no more from the call on.
     *
     * <p>Failure: a version is named while the right is on its way back, and an order goes out. Symptom: the next
     * holder counts from an earlier order, and replicas get orders of two routers within the pause. A write that fails
     * lets the right vanish with its lease.
     *
     * @param waitMillis how long the next holder has to wait, counted from now
     */
    void release(long waitMillis) {
        if (held.isEmpty() || busy) {
            return;
        }
        Held h = held.get();
        held = Optional.empty();
        busy = true;
        String text = DutyRecord.free(self, waitMillis).text();
        store.write(KEY, OptionalLong.of(h.fence), text, Optional.empty()).subscribe((reply, e) -> {
            busy = false;
            store.revoke(h.lease);
            logger.atInfo()
                    .with(Logs.DECISION, "duty given back")
                    .with(Logs.INPUTS, "waitMillis=" + waitMillis + " reply=" + (e == null ? reply : e.getMessage()))
                    .log("the duty is given back");
        });
    }

    /** Notes that nobody has the right, when it never was in the store or vanished with its holder. */
    Promise<Void> markFree() {
        return store.write(KEY, OptionalLong.of(0), DutyRecord.free(self, 0).text(), Optional.empty())
                .toVoid();
    }
}
