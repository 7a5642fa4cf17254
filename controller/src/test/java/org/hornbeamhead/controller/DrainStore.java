package org.hornbeamhead.controller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamhead.core.drain.DrainOrders;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreEntry;
import org.hornbeamhead.core.store.StoreReply;

/** A key-value service in memory whose reads of the drain orders fail or wait when told to. */
final class DrainStore implements KeyValueStore {
    /** What a read of the drain orders comes to. */
    enum Mode {
        /** It is answered at once. */
        ANSWER,
        /** It is refused. */
        FAIL,
        /** It finds what is there now and is answered later. */
        HOLD
    }

    private final Map<String, StoreEntry> entries = new HashMap<>();
    private final List<Runnable> held = new ArrayList<>();
    private final Set<String> leases = new HashSet<>();
    private final Map<String, String> keysOfLeases = new HashMap<>();
    private Mode mode = Mode.ANSWER;
    private long versions;

    void drainReads(Mode next) {
        mode = next;
    }

    void answerHeld() {
        List<Runnable> answers = List.copyOf(held);
        held.clear();
        answers.forEach(Runnable::run);
    }

    void put(String key, String value) {
        entries.put(key, new StoreEntry(key, ++versions, value));
    }

    /** Lets all leases lapse. */
    void lapse() {
        leases.clear();
        entries.keySet().removeIf(key -> key.startsWith("leases/"));
    }

    /** Counts the leases that somebody holds. */
    int leases() {
        return leases.size();
    }

    private StoreReply found(String key) {
        StoreEntry entry = entries.get(key);
        return entry == null ? new StoreReply.Missing() : new StoreReply.Found(entry);
    }

    @Override
    public CompletionStage<StoreReply> read(String key) {
        Mode now = key.equals(DrainOrders.KEY) ? mode : Mode.ANSWER;
        StoreReply reply = now == Mode.FAIL ? new StoreReply.Failed("refused") : found(key);
        if (now != Mode.HOLD) {
            return CompletableFuture.completedFuture(reply);
        }
        CompletableFuture<StoreReply> later = new CompletableFuture<>();
        held.add(() -> later.complete(reply));
        return later;
    }

    @Override
    public CompletionStage<StoreReply> compareAndSwap(
            String key, long expectedVersion, String value, Optional<String> lease) {
        StoreEntry current = entries.get(key);
        long version = current == null ? ABSENT : current.version();
        if (version != expectedVersion) {
            return CompletableFuture.completedFuture(new StoreReply.Conflict(Optional.ofNullable(current)));
        }
        put(key, value);
        lease.ifPresent(id -> keysOfLeases.put(id, key));
        return CompletableFuture.completedFuture(found(key));
    }

    @Override
    public CompletionStage<StoreReply> grant(Duration ttl) {
        String id = "lease-" + ++versions;
        leases.add(id);
        return CompletableFuture.completedFuture(new StoreReply.Leased(id));
    }

    @Override
    public CompletionStage<StoreReply> renew(String lease) {
        return CompletableFuture.completedFuture(
                leases.contains(lease) ? new StoreReply.Leased(lease) : new StoreReply.Missing());
    }

    @Override
    public CompletionStage<StoreReply> revoke(String lease) {
        leases.remove(lease);
        entries.remove(keysOfLeases.remove(lease));
        return CompletableFuture.completedFuture(new StoreReply.Leased(lease));
    }

    @Override
    public CompletionStage<StoreReply> watch(String key, long afterVersion) {
        return read(key);
    }
}
