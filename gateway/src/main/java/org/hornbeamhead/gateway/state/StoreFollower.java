package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import io.activej.promise.Promise;
import java.time.Duration;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.retry.Backoff;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;

/**
 * Keeps the mirror up with the platform's store by one waiting question after the other: to the store, when this router
 * reads it for others or nobody else answers, else to a router that reads it.
 */
public final class StoreFollower {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * Each waiting read that ends without a change is a priced call; a longer wait would find a silent connection late,
     * and leave those that wait at this router with an old view of a quiet store.
     */
    private static final Duration WAIT = Duration.ofSeconds(1);
    /**
     * Changes within this time are read by one call. Where replicas change their entries often, every router would read
     * several times a second without a pause. The pause of a router that reads for itself grows with the routers: all
     * of them may have to, when the readers are lost together.
     */
    private static final long BATCH_MILLIS_PER_ROUTER = 16;

    private static final long MIN_BATCH_MILLIS = 40;
    /** A third of the time in which a change must be in force with many routers. */
    private static final long MAX_BATCH_MILLIS = 1_000;
    /** What a router that reads for others gathers; the first part of how late all of them hear of a change. */
    private static final long READER_BATCH_MILLIS = 120;
    /** Between two questions to a reader; one that always has news must not be asked without a pause. */
    private static final long READER_PAUSE_MILLIS = 20;

    /**
     * An answer that is ready arrives within this time; it takes some milliseconds, and a busy router reads it up to a
     * tenth of a second later. Where it takes longer, the store or a link is disturbed.
     */
    private static final long MAX_ANSWER_DELAY_MILLIS = 200;

    /**
     * A store that answered again sooner than this let nobody's entry lapse: entries go after three missed heartbeats
     * of more than a second each, and routers read once a second at least.
     */
    private static final long MIN_OUTAGE_MILLIS = 2_000;
    /**
     * An entry that vanished in an outage, or this shortly after, may be back: registries drop what could not be
     * renewed. The users' pages say that live servers are listed again within two seconds.
     */
    private static final long RELIST_MILLIS = 2_000;

    /**
     * A router that was answered longer ago than this asks any other one besides: the store may be silent, and its own
     * question to it is given up only later.
     */
    private static final long BEHIND_MILLIS = 1_500;

    private static final Backoff BACKOFF = new Backoff(100, 400);

    private final Timers timers;
    private final Clock clock;
    private final RandomGenerator random;
    private final PlatformStore store;
    private final StoreMirror mirror;
    private final RoutingState state;
    private final SuspensionDetector suspensionDetector;
    private final IntSupplier routerCount;
    private final ReaderClient readers;
    private final MirrorUpdater updater;
    private Optional<String> currentReader = Optional.empty();
    private int failures;
    private boolean snapshotRead;
    private long disconnectedSince;
    private long answeredAt;
    private long relistUntil = Long.MIN_VALUE / 2;

    /**
     * What a follower works with.
     *
     * @param timers the thread's timers
     * @param clock the clock
     * @param random the source of randomness
     * @param store the store
     * @param mirror the mirror to keep up
     * @param state told when the mirror is confirmed to be the newest
     * @param suspensions looked at before a time is counted
     * @param routers counts the routers, this one included
     * @param readers the routers that read the store for others
     * @param intake takes over what they tell
     */
    public record Parts(
            Timers timers,
            Clock clock,
            RandomGenerator random,
            PlatformStore store,
            StoreMirror mirror,
            RoutingState state,
            SuspensionDetector suspensionDetector,
            IntSupplier routerCount,
            ReaderClient readers,
            MirrorUpdater updater) {}

    /**
     * Makes a follower that does not follow yet.
     *
     * @param parts what it works with
     */
    StoreFollower(Parts parts) {
        this.timers = parts.timers();
        this.clock = parts.clock();
        this.random = parts.random();
        this.store = parts.store();
        this.mirror = parts.mirror();
        this.state = parts.state();
        this.suspensionDetector = parts.suspensionDetector();
        this.routerCount = parts.routerCount();
        this.readers = parts.readers();
        this.updater = parts.updater();
    }

    /** Starts to follow. */
    public void start() {
        disconnectedSince = clock.monotonicMillis();
        answeredAt = disconnectedSince;
        poll();
    }

    /** A router that knows nothing yet has to read the store: readers are found in what was read. */
    private void poll() {
        Optional<String> reader = mirror.revision() == 0 ? Optional.empty() : readers.select();
        logReaderChange(reader);
        reader.ifPresentOrElse(this::watchReader, this::watchStore);
    }

    private void logReaderChange(Optional<String> next) {
        if (!next.equals(currentReader)) {
            logger.atInfo()
                    .with(Logs.DECISION, "source of changes")
                    .with(Logs.INPUTS, "reader=" + next.orElse("the store") + " before=" + currentReader.orElse("the store"))
                    .log("changes are read elsewhere from now on");
        }
        currentReader = next;
    }

    private void watchReader(String reader) {
        long sent = clock.monotonicMillis();
        readers.fetch(reader, mirror.revision()).subscribe((answer, e) -> {
            if (e != null) {
                logger.atFine().withCause(e).log("reader %s does not tell what changed", reader);
                poll();
                return;
            }
            handleConnected("reader " + reader);
            long now = clock.monotonicMillis();
            relistUntil = Math.max(relistUntil, now + Math.min(RELIST_MILLIS, answer.relistMillis()));
            updater.apply(answer, sent);
            if (now - sent > READER_PAUSE_MILLIS) {
                poll();
            } else {
                timers.schedule(READER_PAUSE_MILLIS, this::poll);
            }
        });
    }

    private void watchStore() {
        long sent = clock.monotonicMillis();
        boolean whole = !snapshotRead;
        Promise<StoreChanges> call = whole ? store.readAll() : store.watch(mirror.revision(), WAIT);
        call.subscribe((changes, e) -> {
            if (e == null) {
                handleChanges(changes, sent, whole);
            } else {
                handleFailure(e);
            }
        });
    }

    private void handleChanges(StoreChanges changes, long sent, boolean whole) {
        handleConnected("the store");
        snapshotRead = true;
        suspensionDetector.check();
        if (!whole) {
            markCompleteWhileWaiting(sent, clock.monotonicMillis());
        }
        mirror.apply(changes);
        state.markCompleteUpTo(sent);
        state.markConfirmed(state.completeUpTo());
        timers.schedule(batchMillis(), this::poll);
    }

    /** Notes that what is new is heard again, whoever tells it. */
    private void handleConnected(String who) {
        long now = clock.monotonicMillis();
        if (disconnectedSince != 0) {
            logger.atInfo()
                    .with(Logs.DECISION, "store reached")
                    .with(Logs.INPUTS, "awayMillis=" + (now - disconnectedSince) + " revision=" + mirror.revision())
                    .log("%s answers", who);
            relistUntil = isOutage(now) ? now + RELIST_MILLIS : relistUntil;
        }
        disconnectedSince = 0;
        answeredAt = now;
        failures = 0;
    }

    /**
     * The store answers a waiting question as soon as there is a change. So nothing was accepted while it waited, but
     * for what its answer tells. Without this a name would count from the question before, three seconds ago in a store
     * where nothing else changes.
     */
    private void markCompleteWhileWaiting(long sent, long now) {
        if (now - sent > MAX_ANSWER_DELAY_MILLIS && state.isReliable(sent)) {
            state.markCompleteUpTo(now - MAX_ANSWER_DELAY_MILLIS);
        }
    }

    private long batchMillis() {
        long own = batchMillis(routerCount.getAsInt());
        return readers.isSelfReader() ? Math.min(READER_BATCH_MILLIS, own) : own;
    }

    /**
     * Tells how long a router that reads for itself gathers changes.
     *
     * @param routers the routers that read the store
     * @return milliseconds
     */
    static long batchMillis(int routers) {
        return Math.max(MIN_BATCH_MILLIS, Math.min(MAX_BATCH_MILLIS, routers * BATCH_MILLIS_PER_ROUTER));
    }

    private void handleFailure(Exception e) {
        if (e instanceof HistoryLostException) {
            snapshotRead = false;
            logger.atInfo().with(Logs.DECISION, "store read again").log("the store's history is lost");
            poll();
            return;
        }
        if (disconnectedSince == 0) {
            disconnectedSince = clock.monotonicMillis();
            logger.atWarning()
                    .with(Logs.DECISION, "store lost")
                    .with(Logs.REASON, String.valueOf(e.getMessage()))
                    .log("the platform's store does not answer");
        }
        timers.schedule(BACKOFF.delayMillis(failures++, random), this::poll);
    }

    /**
     * Tells whether the store does not answer this router.
     *
     * @return true from the first failed call to the next good one
     */
    public boolean isDisconnected() {
        return disconnectedSince != 0;
    }

    /**
     * Tells whether this router may miss what others know.
     *
     * @return true while nobody answers, or when the last answer is old
     */
    public boolean isBehind() {
        return isDisconnected() || clock.monotonicMillis() - answeredAt > BEHIND_MILLIS;
    }

    /**
     * Tells whether the store itself answers this router.
     *
     * @return false while it waits at another router, or the store does not answer
     */
    public boolean readsStore() {
        return currentReader.isEmpty() && snapshotRead && !isDisconnected();
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
        return isDisconnected() && isOutage(now) ? RELIST_MILLIS : Math.max(0, relistUntil - now);
    }

    private boolean isOutage(long now) {
        return now - answeredAt >= MIN_OUTAGE_MILLIS;
    }
}
