package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.retry.Backoff;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;

/** Keeps the mirror up with the platform's store by one waiting read after the other. */
public final class StoreFollower {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * Each waiting read that ends without a change is a priced call; a longer wait would find a silent connection late.
     */
    private static final Duration WAIT = Duration.ofSeconds(2);
    /**
     * Changes within this time are read by one call. Where replicas change their entries often, every router would read
     * several times a second without a pause: 63 routers made 270 calls a second, a tenth of what their work was worth.
     * The pause grows with the routers, so that all of them together make about as many calls at any size.
     */
    private static final long GATHER_MILLIS_PER_ROUTER = 16;

    private static final long MIN_GATHER_MILLIS = 40;
    /** A third of the time in which a change must be in force with many routers. */
    private static final long MAX_GATHER_MILLIS = 1_000;

    /**
     * An answer that is ready arrives within this time; it takes some milliseconds, and a busy router reads it up to a
     * tenth of a second later. Where it takes longer, the store or a link is disturbed.
     */
    private static final long ANSWER_MILLIS = 200;

    /**
     * A store that answered again sooner than this let nobody's entry lapse: entries go after three missed heartbeats
     * of more than a second each, and routers read once a second at least.
     */
    private static final long OUTAGE_MILLIS = 2_000;
    /**
     * An entry that vanished in an outage, or this shortly after, may be back: registries drop what could not be
     * renewed. The users' pages say that live servers are listed again within two seconds.
     */
    private static final long RELIST_MILLIS = 2_000;

    private static final Backoff BACKOFF = new Backoff(100, 400);

    private final NioReactor reactor;
    private final Clock clock;
    private final RandomGenerator random;
    private final PlatformStore store;
    private final StoreMirror mirror;
    private final RoutingState state;
    private final SuspensionWatch suspensions;
    private final IntSupplier routers;
    private int failures;
    private boolean known;
    private long awaySince;
    private long answeredAt;
    private long outageEndedAt = Long.MIN_VALUE / 2;

    /**
     * Makes a follower that does not follow yet.
     *
     * @param reactor the thread's reactor
     * @param clock the clock
     * @param random the source of randomness
     * @param store the store
     * @param mirror the mirror to keep up
     * @param state told when the mirror is confirmed to be the newest
     * @param suspensions looked at before a time is counted
     * @param routers counts the routers that read the store, this one included
     */
    public StoreFollower(
            NioReactor reactor,
            Clock clock,
            RandomGenerator random,
            PlatformStore store,
            StoreMirror mirror,
            RoutingState state,
            SuspensionWatch suspensions,
            IntSupplier routers) {
        this.reactor = reactor;
        this.clock = clock;
        this.random = random;
        this.store = store;
        this.mirror = mirror;
        this.state = state;
        this.suspensions = suspensions;
        this.routers = routers;
    }

    /** Starts to follow. */
    public void start() {
        awaySince = clock.monotonicMillis();
        answeredAt = awaySince;
        next();
    }

    private void next() {
        long sent = clock.monotonicMillis();
        boolean whole = !known;
        Promise<StoreChanges> call = whole ? store.readAll() : store.watch(mirror.revision(), WAIT);
        call.subscribe((changes, e) -> {
            if (e == null) {
                heard(changes, sent, whole);
            } else {
                failed(e);
            }
        });
    }

    private void heard(StoreChanges changes, long sent, boolean whole) {
        long now = clock.monotonicMillis();
        if (awaySince != 0) {
            logger.atInfo()
                    .with(Logs.DECISION, "store reached")
                    .with(Logs.INPUTS, "awayMillis=" + (now - awaySince) + " revision=" + changes.revision())
                    .log("the platform's store answers");
            outageEndedAt = inOutage(now) ? now : outageEndedAt;
        }
        awaySince = 0;
        answeredAt = now;
        failures = 0;
        known = true;
        suspensions.look();
        if (!whole) {
            provenWhileWaiting(sent, now);
        }
        mirror.apply(changes);
        state.confirmed(whole ? sent : now);
        state.proven(sent);
        reactor.delayBackground(gatherMillis(routers.getAsInt()), this::next);
    }

    /**
     * The store answers a waiting question as soon as there is a change. So nothing was accepted while it waited, but
     * for what its answer tells. Without this a name would count from the question before, three seconds ago in a store
     * where nothing else changes.
     */
    private void provenWhileWaiting(long sent, long now) {
        if (now - sent > ANSWER_MILLIS && state.trusts(sent)) {
            state.proven(now - ANSWER_MILLIS);
        }
    }

    /**
     * Tells how long changes are gathered.
     *
     * @param routers the routers that read the store
     * @return milliseconds
     */
    static long gatherMillis(int routers) {
        return Math.max(MIN_GATHER_MILLIS, Math.min(MAX_GATHER_MILLIS, routers * GATHER_MILLIS_PER_ROUTER));
    }

    private void failed(Exception e) {
        if (e instanceof HistoryLostException) {
            known = false;
            logger.atInfo().with(Logs.DECISION, "store read again").log("the store's history is lost");
            next();
            return;
        }
        if (awaySince == 0) {
            awaySince = clock.monotonicMillis();
            logger.atWarning()
                    .with(Logs.DECISION, "store lost")
                    .with(Logs.REASON, String.valueOf(e.getMessage()))
                    .log("the platform's store does not answer");
        }
        reactor.delayBackground(BACKOFF.delayMillis(failures++, random), this::next);
    }

    /**
     * Tells whether the store does not answer this router.
     *
     * @return true from the first failed call to the next good one
     */
    public boolean away() {
        return awaySince != 0;
    }

    /**
     * Tells how long the removal of an entry may still turn out to be the work of an outage.
     *
     * <p>Failure: one waiting read is cut while the store is sound, and a removal that comes with the next one is not
     * believed for two seconds. Symptom: a replica that left without a word gets requests after the time in which it
     * must get none. Only an outage in which entries can lapse is a reason to wait.
     *
     * @return milliseconds; zero when removals are to be believed at once
     */
    public long relistMillis() {
        long now = clock.monotonicMillis();
        return away() && inOutage(now) ? RELIST_MILLIS : Math.max(0, outageEndedAt + RELIST_MILLIS - now);
    }

    private boolean inOutage(long now) {
        return now - answeredAt >= OUTAGE_MILLIS;
    }
}
