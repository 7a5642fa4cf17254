package org.hornbeamhead.bench;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.hornbeamhead.core.claim.Claim;
import org.hornbeamhead.core.claim.ClaimBatcher;
import org.hornbeamhead.core.claim.ClaimIds;
import org.hornbeamhead.core.claim.ClaimStoreConfig;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreEntry;
import org.hornbeamhead.core.store.StoreReply;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.hornbeamhead.standin.platform.StoreModel;

/** The platform's writes and the latency of claims at a rate, in virtual time, all claims met at their owners. */
final class ClaimBench {
    private static final long STORE_MILLIS = 5;
    private static final long RUN_MILLIS = 30_000;
    private static final long WALL_START_MILLIS = 1_800_000_000_000L;

    private final ManualClock clock = new ManualClock(WALL_START_MILLIS);
    private final ManualTimers timers = new ManualTimers(clock);
    private final StoreModel model = new StoreModel(clock);
    private final SplittableRandom random = new SplittableRandom(1);
    private final Histogram latency = new Histogram(60_000, 3);
    private long reads;
    private long writes;
    private long writtenBytes;

    /** Runs and gives a row of the table. */
    String run(int perSecond) {
        // One batcher stands for all owners: each partition is written by one router in either case.
        ClaimBatcher owners = new ClaimBatcher(new TimedStore(), clock, timers, ClaimStoreConfig.STANDARD);
        long start = System.nanoTime();
        int count = (int) (perSecond * RUN_MILLIS / 1000);
        for (int i = 0; i < count; i++) {
            timers.schedule(i * 1000L / perSecond, () -> claim(owners));
        }
        timers.advance(RUN_MILLIS + 2_000);
        double cpuMicros = (System.nanoTime() - start) / 1e3 / count;
        double seconds = RUN_MILLIS / 1000.0;
        return String.format(
                "| %d | %.0f | %.0f | %.0f | %d | %d | %.0f | %.1f |",
                perSecond,
                writes / seconds,
                reads / seconds,
                writes * 1000.0 / count,
                latency.getValueAtPercentile(50),
                latency.getValueAtPercentile(99),
                writtenBytes / seconds / 1000,
                cpuMicros);
    }

    static String head() {
        return "| claims/s | writes/s | reads/s | writes per 1,000 claims | p50 ms | p99 ms | KB/s written "
                + "| us of processor time per claim, store included |\n|---|---|---|---|---|---|---|---|";
    }

    private void claim(ClaimBatcher owners) {
        long at = clock.monotonicMillis();
        Claim claim = new Claim(ClaimIds.next(clock.wallMillis(), random), random.nextLong());
        owners.claim(claim).thenAccept(result -> latency.recordValue(clock.monotonicMillis() - at));
    }

    private final class TimedStore implements KeyValueStore {
        private CompletionStage<StoreReply> later(Supplier<StoreReply> reply) {
            CompletableFuture<StoreReply> result = new CompletableFuture<>();
            timers.schedule(STORE_MILLIS, () -> result.complete(reply.get()));
            return result;
        }

        @Override
        public CompletionStage<StoreReply> read(String key) {
            reads++;
            return later(
                    () -> model.read(key).<StoreReply>map(StoreReply.Found::new).orElseGet(StoreReply.Missing::new));
        }

        @Override
        public CompletionStage<StoreReply> compareAndSwap(
                String key, long expectedVersion, String value, Optional<String> lease) {
            writes++;
            writtenBytes += value.length();
            return later(() -> {
                Optional<StoreEntry> written = model.compareAndSwap(key, expectedVersion, value, "");
                return written.<StoreReply>map(StoreReply.Found::new)
                        .orElseGet(() -> new StoreReply.Conflict(model.read(key)));
            });
        }

        @Override
        public CompletionStage<StoreReply> grant(Duration ttl) {
            throw new UnsupportedOperationException("no leases here");
        }

        @Override
        public CompletionStage<StoreReply> renew(String lease) {
            throw new UnsupportedOperationException("no leases here");
        }

        @Override
        public CompletionStage<StoreReply> revoke(String lease) {
            throw new UnsupportedOperationException("no leases here");
        }

        @Override
        public CompletionStage<StoreReply> watch(String key, long afterVersion) {
            throw new UnsupportedOperationException("no watches here");
        }
    }
}
