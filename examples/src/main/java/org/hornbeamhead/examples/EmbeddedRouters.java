package org.hornbeamhead.examples;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;
import org.hornbeamhead.core.claim.Claim;
import org.hornbeamhead.core.claim.ClaimBatcher;
import org.hornbeamhead.core.claim.ClaimIds;
import org.hornbeamhead.core.claim.ClaimStoreConfig;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.core.placement.PlacementChoice;
import org.hornbeamhead.core.placement.PlacementTarget;
import org.hornbeamhead.core.placement.PrefixPlacement;
import org.hornbeamhead.core.placement.ReplicaTable;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.prefix.PrefixHasher;
import org.hornbeamhead.core.prefix.PrefixSeed;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreEntry;
import org.hornbeamhead.core.store.StoreReply;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;

/**
 * Two routers inside one program, with a clock, timers, random numbers and a store of the program's own and no socket.
 * They place the same dossier on the same replica without talking, and of the same bid one of them is granted the right
 * to run.
 */
public final class EmbeddedRouters {
    private static final long START_MILLIS = 1_800_000_000_000L;
    private static final PlacementTarget TARGET = new PlacementTarget(400, false);

    private final ManualClock clock = new ManualClock(START_MILLIS);
    private final ManualTimers timers = new ManualTimers(clock);
    private final SplittableRandom random = new SplittableRandom(1);

    /**
     * Runs the example.
     *
     * @param args none
     */
    public static void main(String[] args) {
        EmbeddedRouters example = new EmbeddedRouters();
        System.out.println("placed by router 1: " + example.place());
        System.out.println("placed by router 2: " + example.place());
        System.out.println("of two claims of one bid: " + example.claimTwice());
    }

    /**
     * Places a request as one router would that knows four idle replicas.
     *
     * @return the replica's address
     */
    public String place() {
        ReplicaTable table = new ReplicaTable(clock);
        table.setEndpoints(IntStream.range(0, 4)
                .mapToObj(i -> new Endpoint(EndpointKind.ENGINE, "pool", "10.0.0." + i + ":80", "", "dc", false))
                .toList());
        table.replicas()
                .forEach(r -> table.applyReport(
                        r.address(), new LoadReport("first start", "v1", "model", "w1", 0, 0, false)));
        PrefixSeed seed = new PrefixSeed("auction house", "model", "w1", "");
        PrefixChain chain = PrefixHasher.chat(seed, List.of("house rules", "a long dossier", "who painted it?"));
        PlacementChoice choice =
                new PrefixPlacement().choose(table, chain, TARGET, Set.of()).orElseThrow();
        return choice.replica().address();
    }

    /**
     * Claims one bid through two routers.
     *
     * @return the two results
     */
    public List<String> claimTwice() {
        KeyValueStore store = new MapStore();
        UUID bid = ClaimIds.next(clock.wallMillis(), random);
        List<CompletableFuture<String>> results = IntStream.range(0, 2)
                .mapToObj(i -> new ClaimBatcher(store, clock, timers, ClaimStoreConfig.STANDARD)
                        .claim(new Claim(bid, random.nextLong()))
                        .thenApply(Enum::name)
                        .toCompletableFuture())
                .toList();
        timers.advance(1_000);
        return results.stream().map(CompletableFuture::join).toList();
    }

    /** A store of the embedding program: any map with versions will do for an example. */
    private static final class MapStore implements KeyValueStore {
        private final Map<String, StoreEntry> entries = new HashMap<>();

        @Override
        public CompletionStage<StoreReply> read(String key) {
            StoreEntry entry = entries.get(key);
            return done(entry == null ? new StoreReply.Missing() : new StoreReply.Found(entry));
        }

        @Override
        public CompletionStage<StoreReply> compareAndSwap(
                String key, long expectedVersion, String value, Optional<String> lease) {
            StoreEntry entry = entries.get(key);
            long version = entry == null ? ABSENT : entry.version();
            if (version != expectedVersion) {
                return done(new StoreReply.Conflict(Optional.ofNullable(entry)));
            }
            StoreEntry written = new StoreEntry(key, version + 1, value);
            entries.put(key, written);
            return done(new StoreReply.Found(written));
        }

        @Override
        public CompletionStage<StoreReply> grant(Duration ttl) {
            return done(new StoreReply.Failed("this example needs no leases"));
        }

        @Override
        public CompletionStage<StoreReply> renew(String lease) {
            return done(new StoreReply.Missing());
        }

        @Override
        public CompletionStage<StoreReply> revoke(String lease) {
            return done(new StoreReply.Missing());
        }

        @Override
        public CompletionStage<StoreReply> watch(String key, long afterVersion) {
            return read(key);
        }

        private static CompletionStage<StoreReply> done(StoreReply reply) {
            return CompletableFuture.completedFuture(reply);
        }
    }
}
