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
 * Records claims in the platform's service, many with one write.
 *
 * <p>Safety rests on the compare-and-swap alone: an id stands in one value, and the value names the one attempt that
 * holds it. Values lie in a ring of slots by the ids' issue time; a slot that has moved on to a later window refuses
 * the older one for good. So a process that was paused for an hour cannot claim what others have since forgotten,
 * whatever its clock says.
 *
 * <p>Owned by one thread.
 */
public final class ClaimBatcher {
    private static final long FUTURE_MILLIS = 60_000;
    private static final int BATCH_LIMIT = 2_000;
    private static final int GROUPS_KEPT = 256;

    private record Pending(Claim claim, CompletableFuture<ClaimResult> result) {}

    private record GroupKey(int partition, long window) {}

    private final class Group {
        private final GroupKey key;
        private final List<Pending> waiting = new ArrayList<>();
        private Optional<StoreEntry> known = Optional.empty();
        private boolean busy;
        private long lastCommitMillis = Long.MIN_VALUE / 2;

        Group(GroupKey key) {
            this.key = key;
        }

        String storeKey() {
            return limits.key(key.partition(), key.window());
        }
    }

    private final KeyValueStore store;
    private final Clock clock;
    private final Timers timers;
    private final ClaimLimits limits;
    private final Map<GroupKey, Group> groups = new HashMap<>();
    private long writes;

    /**
     * Makes a batcher.
     *
     * @param store the platform's service
     * @param clock the clock; its wall time only sorts out ids that are surely too old or not yet issued
     * @param timers delays writes
     * @param limits the shape of the store
     */
    public ClaimBatcher(KeyValueStore store, Clock clock, Timers timers, ClaimLimits limits) {
        this.store = store;
        this.clock = clock;
        this.timers = timers;
        this.limits = limits;
    }

    /**
     * Claims an id for an attempt.
     *
     * @param claim the claim
     * @return the result, once the platform's service has recorded it or cannot
     */
    public CompletionStage<ClaimResult> claim(Claim claim) {
        long age = clock.wallMillis() - claim.issuedMillis();
        if (age > limits.retentionMillis()) {
            return CompletableFuture.completedFuture(ClaimResult.EXPIRED);
        }
        if (age < -FUTURE_MILLIS) {
            return CompletableFuture.completedFuture(ClaimResult.UNAVAILABLE);
        }
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        GroupKey key = new GroupKey(limits.partition(claim), limits.window(claim.issuedMillis()));
        Group group = groups.computeIfAbsent(key, Group::new);
        group.waiting.add(new Pending(claim, result));
        commitSoon(group);
        return result;
    }

    /**
     * Counts the writes tried so far, for metrics.
     *
     * @return compare-and-swaps sent
     */
    public long writes() {
        return writes;
    }

    private void commitSoon(Group group) {
        if (group.busy || group.waiting.isEmpty()) {
            return;
        }
        group.busy = true;
        long since = clock.monotonicMillis() - group.lastCommitMillis;
        long delay = Math.max(0, limits.commitEveryMillis() - since);
        if (delay == 0) {
            commit(group);
        } else {
            timers.schedule(delay, () -> commit(group));
        }
    }

    private void commit(Group group) {
        int count = Math.min(BATCH_LIMIT, group.waiting.size());
        List<Pending> batch = new ArrayList<>(group.waiting.subList(0, count));
        group.waiting.subList(0, count).clear();
        group.lastCommitMillis = clock.monotonicMillis();
        if (group.known.isPresent()) {
            write(group, batch, limits.tries(), false);
        } else {
            read(group, batch, limits.tries(), false);
        }
    }

    private void read(Group group, List<Pending> batch, int tries, boolean doubt) {
        store.read(group.storeKey()).thenAccept(reply -> {
            if (reply instanceof StoreReply.Found found) {
                group.known = Optional.of(found.entry());
                write(group, batch, tries, doubt);
            } else if (reply instanceof StoreReply.Missing) {
                group.known = Optional.empty();
                write(group, batch, tries, doubt);
            } else {
                retryOrGiveUp(group, batch, tries, doubt);
            }
        });
    }

    private void write(Group group, List<Pending> batch, int tries, boolean doubt) {
        ClaimWindow current = current(group);
        if (current.window() > group.key.window()) {
            finish(group, batch, ClaimResult.EXPIRED);
            return;
        }
        List<Pending> free = settleHeld(batch, current);
        if (free.isEmpty()) {
            done(group);
            return;
        }
        List<Claim> claims = free.stream().map(Pending::claim).toList();
        long version = group.known.map(StoreEntry::version).orElse(KeyValueStore.ABSENT);
        writes++;
        store.compareAndSwap(group.storeKey(), version, current.with(claims).format(), Optional.empty())
                .thenAccept(reply -> written(group, free, tries, doubt, reply));
    }

    private ClaimWindow current(Group group) {
        ClaimWindow stored = group.known
                .map(entry -> ClaimWindow.parse(entry.value()))
                .orElseGet(() -> ClaimWindow.empty(group.key.window()));
        return stored.window() < group.key.window() ? ClaimWindow.empty(group.key.window()) : stored;
    }

    /** Answers the claims whose id is held, by their own attempt or by another, and returns the rest. */
    private static List<Pending> settleHeld(List<Pending> batch, ClaimWindow current) {
        List<Pending> free = new ArrayList<>();
        Map<UUID, Long> inBatch = new HashMap<>();
        for (Pending p : batch) {
            Optional<Long> holder = current.attempt(p.claim().id())
                    .or(() -> Optional.ofNullable(
                            inBatch.putIfAbsent(p.claim().id(), p.claim().attempt())));
            if (holder.isEmpty()) {
                free.add(p);
            } else {
                boolean own = holder.get() == p.claim().attempt();
                p.result().complete(own ? ClaimResult.GRANTED : ClaimResult.TAKEN);
            }
        }
        return free;
    }

    private void written(Group group, List<Pending> batch, int tries, boolean doubt, StoreReply reply) {
        if (reply instanceof StoreReply.Found found) {
            group.known = Optional.of(found.entry());
            finish(group, batch, ClaimResult.GRANTED);
        } else if (reply instanceof StoreReply.Conflict conflict) {
            group.known = conflict.current();
            writeAgain(group, batch, tries, doubt);
        } else {
            // Failure: the write took effect and its answer was lost. Symptom: the same id would be refused although
            // nobody runs it. The same write is tried again: the store then shows either this attempt's number or a
            // version that the lost write can no longer match.
            group.known = Optional.empty();
            retryOrGiveUp(group, batch, tries, doubt || reply instanceof StoreReply.InDoubt);
        }
    }

    private void writeAgain(Group group, List<Pending> batch, int tries, boolean doubt) {
        if (tries <= 1) {
            finish(group, batch, doubt ? ClaimResult.IN_DOUBT : ClaimResult.UNAVAILABLE);
        } else {
            write(group, batch, tries - 1, doubt);
        }
    }

    private void retryOrGiveUp(Group group, List<Pending> batch, int tries, boolean doubt) {
        if (tries <= 1) {
            finish(group, batch, doubt ? ClaimResult.IN_DOUBT : ClaimResult.UNAVAILABLE);
        } else {
            timers.schedule(limits.commitEveryMillis(), () -> read(group, batch, tries - 1, doubt));
        }
    }

    private void finish(Group group, List<Pending> batch, ClaimResult result) {
        batch.forEach(p -> p.result().complete(result));
        done(group);
    }

    private void done(Group group) {
        group.busy = false;
        forgetOldGroups();
        commitSoon(group);
    }

    private void forgetOldGroups() {
        if (groups.size() > GROUPS_KEPT) {
            long oldest = limits.window(clock.wallMillis()) - 2;
            groups.values().removeIf(g -> !g.busy && g.waiting.isEmpty() && g.key.window() < oldest);
        }
    }
}
