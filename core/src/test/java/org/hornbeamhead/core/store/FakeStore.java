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

/** A key-value service in memory whose next answers can be told to go wrong. */
public final class FakeStore implements KeyValueStore {
    /** What may go wrong with one write. */
    public enum Fault {
        /** It takes effect and is answered. */
        NONE,
        /** It has no effect and is refused. */
        REFUSED,
        /** It takes effect and the answer is lost. */
        LOST_ANSWER,
        /** It has no effect and the answer is lost. */
        LOST_REQUEST
    }

    private final Map<String, StoreEntry> entries = new HashMap<>();
    private final Map<String, Set<String>> leases = new HashMap<>();
    private final Deque<Fault> writeFaults = new ArrayDeque<>();
    private long nextVersion = 1;
    private final Deque<Runnable> heldAnswers = new ArrayDeque<>();
    private boolean outage;
    private boolean holding;
    private int writes;
    private int reads;

    /** Queues faults, one for each of the next writes. */
    public void failWrites(Fault... faults) {
        for (Fault fault : faults) {
            writeFaults.add(fault);
        }
    }

    /** Begins or ends an outage, during which every call is refused. */
    public void outage(boolean begun) {
        outage = begun;
    }

    /** Lets grants and renewals take effect from now on without being answered. */
    public void holdLeaseAnswers() {
        holding = true;
    }

    /** Gives the answers that were held, oldest first, and holds no more. */
    public void answerHeld() {
        holding = false;
        while (!heldAnswers.isEmpty()) {
            heldAnswers.poll().run();
        }
    }

    /** Lets a lease lapse, as if it had not been renewed. */
    public void lapse(String lease) {
        Set<String> keys = leases.remove(lease);
        if (keys != null) {
            keys.forEach(entries::remove);
        }
    }

    /** Counts the writes that reached the service. */
    public int writes() {
        return writes;
    }

    /** Counts the reads that reached the service. */
    public int reads() {
        return reads;
    }

    /** Gives a key's value, for assertions. */
    public Optional<String> value(String key) {
        return Optional.ofNullable(entries.get(key)).map(StoreEntry::value);
    }

    @Override
    public CompletionStage<StoreReply> read(String key) {
        reads++;
        if (outage) {
            return done(new StoreReply.Failed("outage"));
        }
        StoreEntry entry = entries.get(key);
        return done(entry == null ? new StoreReply.Missing() : new StoreReply.Found(entry));
    }

    @Override
    public CompletionStage<StoreReply> compareAndSwap(
            String key, long expectedVersion, String value, Optional<String> lease) {
        writes++;
        Fault fault = writeFaults.isEmpty() ? Fault.NONE : writeFaults.poll();
        if (outage || fault == Fault.REFUSED) {
            return done(new StoreReply.Failed("refused"));
        }
        if (fault == Fault.LOST_REQUEST) {
            return done(new StoreReply.InDoubt("lost"));
        }
        StoreReply reply = swap(key, expectedVersion, value, lease);
        return done(fault == Fault.LOST_ANSWER ? new StoreReply.InDoubt("lost") : reply);
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
            return done(new StoreReply.Failed("outage"));
        }
        String id = "lease-" + nextVersion++;
        leases.put(id, new HashSet<>());
        return held(new StoreReply.Leased(id));
    }

    @Override
    public CompletionStage<StoreReply> renew(String lease) {
        if (outage) {
            return done(new StoreReply.InDoubt("outage"));
        }
        return held(leases.containsKey(lease) ? new StoreReply.Leased(lease) : new StoreReply.Missing());
    }

    @Override
    public CompletionStage<StoreReply> revoke(String lease) {
        lapse(lease);
        return done(new StoreReply.Leased(lease));
    }

    @Override
    public CompletionStage<StoreReply> watch(String key, long afterVersion) {
        return read(key);
    }

    private CompletionStage<StoreReply> held(StoreReply reply) {
        if (!holding) {
            return done(reply);
        }
        CompletableFuture<StoreReply> later = new CompletableFuture<>();
        heldAnswers.add(() -> later.complete(reply));
        return later;
    }

    private static CompletionStage<StoreReply> done(StoreReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
