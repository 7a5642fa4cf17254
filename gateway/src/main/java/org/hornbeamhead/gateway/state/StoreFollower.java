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
 * Keeps the mirror up to date with the platform's store by consecutive long-polling requests. The requests go to the
 * store if this router reads it for others or no reader answers, otherwise to a router that reads it.
 */
public final class StoreFollower {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * Maximum wait of one read of the store. Each read that ends without a change is a billed call. A longer wait would
     * delay the detection of a silent connection, and would leave the routers that wait at this router with an outdated
     * view of an idle store.
     */
    private static final Duration WAIT = Duration.ofSeconds(1);
    /**
     * Changes within this time are read by one call. Where replicas change their entries often, every router would
     * otherwise read several times a second. The delay of a router that reads for itself grows with the number of
     * routers, because all of them may have to read the store when the readers fail together.
     */
    private static final long BATCH_MILLIS_PER_ROUTER = 16;

    private static final long MIN_BATCH_MILLIS = 40;
    /** A third of the time in which a change must be in force in a large fleet. */
    private static final long MAX_BATCH_MILLIS = 1_000;
    /**
     * Batching delay of a router that reads for others; it is the first part of the propagation delay to all routers.
     */
    private static final long READER_BATCH_MILLIS = 120;
    /**
     * Delay between two requests to a reader, which would otherwise be sent continuously while the reader always has
     * changes.
     */
    private static final long READER_PAUSE_MILLIS = 20;

    /**
     * An answer that is ready arrives within this time: it takes some milliseconds, and a busy router reads it up to a
     * tenth of a second later. If it takes longer, the store or a link is disturbed.
     */
    private static final long MAX_ANSWER_DELAY_MILLIS = 200;

    /**
     * Interruptions of the store shorter than this do not let any entry expire: entries expire after three missed
     * heartbeats of more than a second each, and routers read at least once a second.
     */
    private static final long MIN_OUTAGE_MILLIS = 2_000;
    /**
     * An entry that was removed during an outage, or within this time after it, may be listed again: registries drop
     * entries that could not be renewed. According to the user documentation, live servers are listed again within two
     * seconds.
     */
    private static final long RELIST_MILLIS = 2_000;

    /**
     * A router that received its last answer longer ago than this also queries any other router: the store may be
     * silent, and the pending request to it times out only later.
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
    private final StallDetector stalls;
    private Optional<String> currentReader = Optional.empty();
    private int failures;
    private boolean snapshotRead;
    private long disconnectedSince;
    private long answeredAt;
    private long relistUntil = Long.MIN_VALUE / 2;

    /**
     * The dependencies of a follower.
     *
     * @param timers the timers of this thread
     * @param clock the clock
     * @param random the source of randomness
     * @param store the store
     * @param mirror the mirror to update
     * @param state the routing state, which records when the mirror was confirmed to be the latest
     * @param suspensionDetector checked before a time is recorded
     * @param routerCount supplies the number of routers, including this one
     * @param readers the routers that read the store for others
     * @param updater applies the answers of readers
     */
    public record Dependencies(
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
     * Creates a follower that is not started yet.
     *
     * @param dependencies the dependencies
     */
    StoreFollower(Dependencies dependencies) {
        this.timers = dependencies.timers();
        this.clock = dependencies.clock();
        this.random = dependencies.random();
        this.store = dependencies.store();
        this.mirror = dependencies.mirror();
        this.state = dependencies.state();
        this.suspensionDetector = dependencies.suspensionDetector();
        this.routerCount = dependencies.routerCount();
        this.readers = dependencies.readers();
        this.updater = dependencies.updater();
        this.stalls = new StallDetector(clock, timers);
    }

    /** Starts to read changes. */
    public void start() {
        stalls.start();
        disconnectedSince = clock.monotonicMillis();
        answeredAt = disconnectedSince;
        poll();
    }

    /**
     * Sends the next request. A router with an empty mirror must read the store, because it finds the readers in the
     * store.
     */
    private void poll() {
        Optional<String> reader = mirror.revision() == 0 ? Optional.empty() : readers.select();
        logReaderChange(reader);
        reader.ifPresentOrElse(this::watchReader, this::watchStore);
    }

    private void logReaderChange(Optional<String> nextReader) {
        if (!nextReader.equals(currentReader)) {
            logger.atInfo()
                    .with(Logs.DECISION, "source of changes")
                    .with(
                            Logs.INPUTS,
                            "reader=" + nextReader.orElse("the store") + " before=" + currentReader.orElse("the store"))
                    .log("changes are now read from another source");
        }
        currentReader = nextReader;
    }

    private void watchReader(String reader) {
        long sent = clock.monotonicMillis();
        readers.fetch(reader, mirror.revision()).subscribe((answer, e) -> {
            if (e != null) {
                logger.atFine().withCause(e).log("fetching changes from reader %s failed", reader);
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
        boolean readsSnapshot = !snapshotRead;
        Promise<StoreChanges> call = readsSnapshot ? store.readAll() : store.watch(mirror.revision(), WAIT);
        call.subscribe((changes, e) -> {
            if (e == null) {
                handleChanges(changes, sent, readsSnapshot);
            } else {
                handleFailure(e);
            }
        });
    }

    private void handleChanges(StoreChanges changes, long sent, boolean readsSnapshot) {
        handleConnected("the store");
        snapshotRead = true;
        suspensionDetector.check();
        if (!readsSnapshot) {
            markCompleteWhileWaiting(sent, stalls.earliestArrivalMillis());
        }
        mirror.apply(changes);
        state.markCompleteUpTo(sent);
        state.markConfirmed(state.completeUpTo());
        timers.schedule(batchMillis(), this::poll);
    }

    /** Records that this router receives changes again, whatever their source. */
    private void handleConnected(String sourceName) {
        long now = clock.monotonicMillis();
        if (disconnectedSince != 0) {
            logger.atInfo()
                    .with(Logs.DECISION, "store reached")
                    .with(Logs.INPUTS, "awayMillis=" + (now - disconnectedSince) + " revision=" + mirror.revision())
                    .log("connected to %s", sourceName);
            relistUntil = isOutage(now) ? now + RELIST_MILLIS : relistUntil;
        }
        disconnectedSince = 0;
        answeredAt = now;
        failures = 0;
    }

    /**
     * The store answers a waiting request as soon as there is a change. So no change was accepted during the wait
     * except those in the answer. Without this, a version would count as published at the previous request, three
     * seconds ago in a store where nothing else changes. An answer that was read after a stall may have arrived when
     * the stall began, and proves nothing of the time since.
     */
    private void markCompleteWhileWaiting(long sent, long arrived) {
        if (arrived - sent > MAX_ANSWER_DELAY_MILLIS && state.isReliable(sent)) {
            state.markCompleteUpTo(arrived - MAX_ANSWER_DELAY_MILLIS);
        }
    }

    private long batchMillis() {
        long delayMillis = batchMillis(routerCount.getAsInt());
        return readers.isSelfReader() ? Math.min(READER_BATCH_MILLIS, delayMillis) : delayMillis;
    }

    /**
     * Returns how long a router that reads for itself collects changes before the next read.
     *
     * @param routers the number of routers that read the store
     * @return the delay in milliseconds
     */
    static long batchMillis(int routers) {
        return Math.max(MIN_BATCH_MILLIS, Math.min(MAX_BATCH_MILLIS, routers * BATCH_MILLIS_PER_ROUTER));
    }

    private void handleFailure(Exception e) {
        if (e instanceof HistoryLostException) {
            snapshotRead = false;
            logger.atInfo()
                    .with(Logs.DECISION, "store read again")
                    .log("the store no longer holds the required history; reading a snapshot");
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
     * Returns whether neither the store nor a reader answers this router.
     *
     * @return true from the first failed call to the next successful one
     */
    public boolean isDisconnected() {
        return disconnectedSince != 0;
    }

    /**
     * Returns whether this router may lack changes that others have.
     *
     * @return true while no source answers, or if the last answer is old
     */
    public boolean isBehind() {
        return isDisconnected() || clock.monotonicMillis() - answeredAt > BEHIND_MILLIS;
    }

    /**
     * Returns whether the store itself answers this router.
     *
     * @return false while this router waits for changes from another router, or the store does not answer
     */
    public boolean readsStore() {
        return currentReader.isEmpty() && snapshotRead && !isDisconnected();
    }

    /**
     * Returns how long removed entries may still be listed again after an outage.
     *
     * <p>If a single waiting read is cut off while the store works, removals in the next read must take effect at once.
     * Delaying them by two seconds would send requests to a replica that left without notice after the time at which it
     * must receive none. Only an outage in which entries can expire delays removals.
     *
     * @return the time in milliseconds; 0 if removals take effect at once
     */
    public long relistMillis() {
        long now = clock.monotonicMillis();
        return isDisconnected() && isOutage(now) ? RELIST_MILLIS : Math.max(0, relistUntil - now);
    }

    private boolean isOutage(long now) {
        return now - answeredAt >= MIN_OUTAGE_MILLIS;
    }
}
