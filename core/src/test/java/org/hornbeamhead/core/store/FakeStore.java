package org.hornbeamhead.core.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** An in-memory key-value service for tests, with injectable faults. */
public final class FakeStore implements KeyValueStore {
    /** The fault injected into one write. */
    public enum Fault {
        /** The write takes effect and is answered. */
        NONE,
        /** The write has no effect and is refused. */
        REFUSED,
        /** The write takes effect, but the reply is lost. */
        LOST_ANSWER,
        /** The request is lost, so that the write has no effect and is not answered. */
        LOST_REQUEST
    }

    private final Map<String, StoreEntry> entries = new HashMap<>();
    private final Map<String, Set<String>> leases = new HashMap<>();
    private final Deque<Fault> writeFaults = new ArrayDeque<>();
    private long nextVersion = 1;
    private final Deque<Runnable> heldReplies = new ArrayDeque<>();
    private Optional<Runnable> lateWrite = Optional.empty();
    private int writesBeforeLateOne = -1;
    private boolean outage;
    private boolean holdingReplies;
    private int writes;
    private int reads;

    /** Queues faults, one for each of the next writes. */
    public void failNextWrites(Fault... faults) {
        for (Fault fault : faults) {
            writeFaults.add(fault);
        }
    }

    /** Delays a write after some others: it is in doubt, and takes effect at {@link #executeLateWrite}. */
    public void delayWriteAfter(int otherWrites) {
        writesBeforeLateOne = otherWrites;
    }

    /** Executes the delayed write, if its condition still holds. */
    public void executeLateWrite() {
        lateWrite.orElseThrow().run();
    }

    /** Starts or ends an outage, during which every call except a revocation fails. */
    public void setOutage(boolean active) {
        outage = active;
    }

    /** Holds back the replies to subsequent grants and renewals, which still take effect. */
    public void holdLeaseReplies() {
        holdingReplies = true;
    }

    /** Answers subsequent grants and renewals again; earlier replies stay held back. */
    public void stopHoldingReplies() {
        holdingReplies = false;
    }

    /** Sends the replies that were held back, oldest first, and stops holding replies. */
    public void releaseHeldReplies() {
        holdingReplies = false;
        while (!heldReplies.isEmpty()) {
            heldReplies.poll().run();
        }
    }

    /** Expires a lease, as if it had not been renewed. */
    public void expireLease(String lease) {
        Set<String> keys = leases.remove(lease);
        if (keys != null) {
            keys.forEach(entries::remove);
        }
    }

    /** Returns the number of writes requested. */
    public int writes() {
        return writes;
    }

    /** Returns the number of reads requested. */
    public int reads() {
        return reads;
    }

    /** Returns the value of a key, for assertions. */
    public Optional<String> value(String key) {
        return Optional.ofNullable(entries.get(key)).map(StoreEntry::value);
    }

    @Override
    public CompletionStage<StoreReply> read(String key) {
        reads++;
        if (outage) {
            return completed(new StoreReply.Failed("outage"));
        }
        StoreEntry entry = entries.get(key);
        return completed(entry == null ? new StoreReply.Missing() : new StoreReply.Found(entry));
    }

    @Override
    public CompletionStage<StoreReply> compareAndSwap(
            String key, long expectedVersion, String value, Optional<String> lease) {
        writes++;
        Fault fault = writeFaults.isEmpty() ? Fault.NONE : writeFaults.poll();
        if (outage || fault == Fault.REFUSED) {
            return completed(new StoreReply.Failed("refused"));
        }
        if (fault == Fault.LOST_REQUEST) {
            return completed(new StoreReply.InDoubt("lost"));
        }
        if (writesBeforeLateOne-- == 0) {
            lateWrite = Optional.of(() -> swap(key, expectedVersion, value, lease));
            return completed(new StoreReply.InDoubt("late"));
        }
        StoreReply reply = swap(key, expectedVersion, value, lease);
        return completed(fault == Fault.LOST_ANSWER ? new StoreReply.InDoubt("lost") : reply);
    }

    private StoreReply swap(String key, long expectedVersion, String value, Optional<String> lease) {
        StoreEntry current = entries.get(key);
        long version = current == null ? ABSENT : current.version();
        boolean leaseGone = lease.isPresent() && !leases.containsKey(lease.get());
        if (version != expectedVersion || leaseGone) {
            return new StoreReply.Conflict(Optional.ofNullable(current));
        }
        StoreEntry written = new StoreEntry(key, nextVersion++, value);
        entries.put(key, written);
        lease.ifPresent(l -> leases.get(l).add(key));
        return new StoreReply.Found(written);
    }

    @Override
    public CompletionStage<StoreReply> grant(Duration ttl) {
        if (outage) {
            return completed(new StoreReply.Failed("outage"));
        }
        String id = "lease-" + nextVersion++;
        leases.put(id, new HashSet<>());
        return replyOrHold(new StoreReply.Leased(id));
    }

    @Override
    public CompletionStage<StoreReply> renew(String lease) {
        if (outage) {
            return completed(new StoreReply.InDoubt("outage"));
        }
        return replyOrHold(leases.containsKey(lease) ? new StoreReply.Leased(lease) : new StoreReply.Missing());
    }

    @Override
    public CompletionStage<StoreReply> revoke(String lease) {
        expireLease(lease);
        return completed(new StoreReply.Leased(lease));
    }

    @Override
    public CompletionStage<StoreReply> watch(String key, long afterVersion) {
        return read(key);
    }

    private CompletionStage<StoreReply> replyOrHold(StoreReply reply) {
        if (!holdingReplies) {
            return completed(reply);
        }
        CompletableFuture<StoreReply> later = new CompletableFuture<>();
        heldReplies.add(() -> later.complete(reply));
        return later;
    }

    private static CompletionStage<StoreReply> completed(StoreReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
