package org.hornbeamhead.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreEntry;
import org.hornbeamhead.core.store.StoreReply;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;

/**
 * Records claims in the platform's key-value service, batching many claims into one write.
 *
 * <p>Safety depends only on compare-and-swap: each id is stored in one value, which names the single attempt that holds
 * it. Values are stored in a ring of slots, selected by the issue time of the ids. A slot that has been reused for a
 * later window rejects claims of earlier windows permanently. A process that was paused for an hour therefore cannot
 * claim an id whose record has been overwritten in the meantime, whatever its clock says.
 *
 * <p>Owned by one thread.
 */
public final class ClaimBatcher {
    private static final long MAX_FUTURE_MILLIS = 60_000;
    private static final int MAX_BATCH_SIZE = 2_000;
    private static final int GROUP_EVICTION_THRESHOLD = 256;

    private record Pending(Claim claim, CompletableFuture<ClaimResult> result) {}

    private record GroupKey(int partition, long window) {}

    private final class Group {
        private final GroupKey key;
        private final List<Pending> pending = new ArrayList<>();
        private Optional<StoreEntry> lastKnownEntry = Optional.empty();
        private boolean busy;
        private long lastCommitMillis = Long.MIN_VALUE / 2;

        Group(GroupKey key) {
            this.key = key;
        }

        String storeKey() {
            return config.storeKey(key.partition(), key.window());
        }
    }

    private final KeyValueStore store;
    private final Clock clock;
    private final Timers timers;
    private final ClaimStoreConfig config;
    private final Map<GroupKey, Group> groups = new HashMap<>();
    private long writes;

    /**
     * Creates a batcher.
     *
     * @param store the platform's key-value service
     * @param clock the clock; its wall time is used only to reject ids that are too old or issued in the future
     * @param timers the timers that delay writes
     * @param config the layout and timing of the claim store
     */
    public ClaimBatcher(KeyValueStore store, Clock clock, Timers timers, ClaimStoreConfig config) {
        this.store = store;
        this.clock = clock;
        this.timers = timers;
        this.config = config;
    }

    /**
     * Claims an id for an attempt.
     *
     * @param claim the claim
     * @return a stage that completes with the result once the claim is recorded or cannot be recorded
     */
    public CompletionStage<ClaimResult> claim(Claim claim) {
        long age = clock.wallMillis() - claim.issuedMillis();
        if (age > config.retentionMillis()) {
            return CompletableFuture.completedFuture(ClaimResult.EXPIRED);
        }
        if (age < -MAX_FUTURE_MILLIS) {
            return CompletableFuture.completedFuture(ClaimResult.UNAVAILABLE);
        }
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        GroupKey key = new GroupKey(config.partitionOf(claim), config.windowOf(claim.issuedMillis()));
        Group group = groups.computeIfAbsent(key, Group::new);
        group.pending.add(new Pending(claim, result));
        scheduleCommit(group);
        return result;
    }

    /**
     * Returns the number of attempted writes, for metrics.
     *
     * @return the number of compare-and-swap operations sent
     */
    public long writes() {
        return writes;
    }

    private void scheduleCommit(Group group) {
        if (group.busy || group.pending.isEmpty()) {
            return;
        }
        group.busy = true;
        long sinceLastCommit = clock.monotonicMillis() - group.lastCommitMillis;
        long delay = Math.max(0, config.commitIntervalMillis() - sinceLastCommit);
        if (delay == 0) {
            commit(group);
        } else {
            timers.schedule(delay, () -> commit(group));
        }
    }

    private void commit(Group group) {
        int count = Math.min(MAX_BATCH_SIZE, group.pending.size());
        List<Pending> batch = new ArrayList<>(group.pending.subList(0, count));
        group.pending.subList(0, count).clear();
        group.lastCommitMillis = clock.monotonicMillis();
        if (group.lastKnownEntry.isPresent()) {
            write(group, batch, config.maxTries(), false);
        } else {
            read(group, batch, config.maxTries(), false);
        }
    }

    private void read(Group group, List<Pending> batch, int triesLeft, boolean inDoubt) {
        store.read(group.storeKey()).thenAccept(reply -> {
            if (reply instanceof StoreReply.Found found) {
                group.lastKnownEntry = Optional.of(found.entry());
                write(group, batch, triesLeft, inDoubt);
            } else if (reply instanceof StoreReply.Missing) {
                group.lastKnownEntry = Optional.empty();
                write(group, batch, triesLeft, inDoubt);
            } else {
                rereadOrGiveUp(group, batch, triesLeft, inDoubt);
            }
        });
    }

    private void write(Group group, List<Pending> batch, int triesLeft, boolean inDoubt) {
        ClaimWindow current = currentWindow(group);
        if (current.window() > group.key.window()) {
            completeBatch(group, batch, ClaimResult.EXPIRED);
            return;
        }
        List<Pending> unclaimed = completeHeldClaims(batch, current);
        if (unclaimed.isEmpty()) {
            releaseGroup(group);
            return;
        }
        List<Claim> claims = unclaimed.stream().map(Pending::claim).toList();
        long version = group.lastKnownEntry.map(StoreEntry::version).orElse(KeyValueStore.ABSENT);
        writes++;
        store.compareAndSwap(
                        group.storeKey(), version, current.withClaims(claims).format(), Optional.empty())
                .thenAccept(reply -> handleWriteReply(group, unclaimed, triesLeft, inDoubt, reply));
    }

    private ClaimWindow currentWindow(Group group) {
        ClaimWindow stored = group.lastKnownEntry
                .map(entry -> ClaimWindow.parse(entry.value()))
                .orElseGet(() -> ClaimWindow.empty(group.key.window()));
        return stored.window() < group.key.window() ? ClaimWindow.empty(group.key.window()) : stored;
    }

    /** Completes the claims whose id is already held, by the same attempt or another one, and returns the others. */
    private static List<Pending> completeHeldClaims(List<Pending> batch, ClaimWindow current) {
        List<Pending> unclaimed = new ArrayList<>();
        Map<UUID, Long> inBatch = new HashMap<>();
        for (Pending p : batch) {
            Optional<Long> holder = current.attemptHolding(p.claim().id())
                    .or(() -> Optional.ofNullable(
                            inBatch.putIfAbsent(p.claim().id(), p.claim().attempt())));
            if (holder.isEmpty()) {
                unclaimed.add(p);
            } else {
                boolean own = holder.get() == p.claim().attempt();
                p.result().complete(own ? ClaimResult.GRANTED : ClaimResult.TAKEN);
            }
        }
        return unclaimed;
    }

    private void handleWriteReply(Group group, List<Pending> batch, int triesLeft, boolean inDoubt, StoreReply reply) {
        if (reply instanceof StoreReply.Found found) {
            group.lastKnownEntry = Optional.of(found.entry());
            completeBatch(group, batch, ClaimResult.GRANTED);
        } else if (reply instanceof StoreReply.Conflict conflict) {
            group.lastKnownEntry = conflict.current();
            rewriteOrGiveUp(group, batch, triesLeft, inDoubt);
        } else {
            // The write may have taken effect although its reply was lost. If its ids were refused then, nobody would
            // run the requests. The write is therefore tried again: the store then has either this attempt's number or
            // a version that the lost write can no longer match.
            group.lastKnownEntry = Optional.empty();
            rereadOrGiveUp(group, batch, triesLeft, inDoubt || reply instanceof StoreReply.InDoubt);
        }
    }

    private void rewriteOrGiveUp(Group group, List<Pending> batch, int triesLeft, boolean inDoubt) {
        if (triesLeft <= 1) {
            completeBatch(group, batch, inDoubt ? ClaimResult.IN_DOUBT : ClaimResult.UNAVAILABLE);
        } else {
            write(group, batch, triesLeft - 1, inDoubt);
        }
    }

    private void rereadOrGiveUp(Group group, List<Pending> batch, int triesLeft, boolean inDoubt) {
        if (triesLeft <= 1) {
            completeBatch(group, batch, inDoubt ? ClaimResult.IN_DOUBT : ClaimResult.UNAVAILABLE);
        } else {
            timers.schedule(config.commitIntervalMillis(), () -> read(group, batch, triesLeft - 1, inDoubt));
        }
    }

    private void completeBatch(Group group, List<Pending> batch, ClaimResult result) {
        batch.forEach(p -> p.result().complete(result));
        releaseGroup(group);
    }

    private void releaseGroup(Group group) {
        group.busy = false;
        evictOldGroups();
        scheduleCommit(group);
    }

    private void evictOldGroups() {
        if (groups.size() > GROUP_EVICTION_THRESHOLD) {
            long oldest = config.windowOf(clock.wallMillis()) - 2;
            groups.values().removeIf(g -> !g.busy && g.pending.isEmpty() && g.key.window() < oldest);
        }
    }
}
