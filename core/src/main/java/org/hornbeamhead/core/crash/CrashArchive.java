package org.hornbeamhead.core.crash;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;

/**
 * Keeps in the platform's store under which requests replicas ended, for routers that start when none is left that
 * could tell them.
 *
 * <p>One key holds the requests under which two replicas or more ended. A router writes it after it has seen such an
 * end itself, joined with what stands there, unless another router has written the same meanwhile.
 *
 * <p>Owned by one thread.
 */
public final class CrashArchive {
    /** The key. */
    public static final String KEY = "hornbeam/crashes";

    /** Writers wait for up to this, so that the first of them writes for the others. */
    private static final int SPREAD_MILLIS = 200;

    private static final long FAILED_AGAIN_MILLIS = 1_000;
    /** Every router hears of each change, so the value stays small. */
    private static final int MAX_BYTES = 4_096;

    private final Clock clock;
    private final Timers timers;
    private final RandomGenerator random;
    private final Store store;
    private final CrashHistory history;
    private Map<RequestFingerprint, Set<Integer>> stored = Map.of();
    private long readRevision;
    private long expectedRevision;
    private boolean unsaved;
    private boolean waiting;

    /** Writes the key. */
    @FunctionalInterface
    public interface Store {
        /**
         * Writes the key if it still has the expected revision.
         *
         * @param expectedRevision the revision, 0 for an absent key
         * @param value the new value
         * @return what became of it
         */
        CompletionStage<Reply> write(long expectedRevision, String value);
    }

    /** What became of a write. */
    public sealed interface Reply {
        /**
         * It was written.
         *
         * @param revision the key's new revision
         */
        record Written(long revision) implements Reply {}

        /**
         * The key had another revision; nothing was written.
         *
         * @param revision its revision, 0 when it is absent
         * @param value its value, empty when it is absent
         */
        record Conflict(long revision, String value) implements Reply {}

        /** It may or may not have been written. */
        record Failed() implements Reply {}
    }

    /**
     * Makes an archive that has read nothing.
     *
     * @param clock the clock
     * @param timers the thread's timers
     * @param random spreads the writers
     * @param store writes the key
     * @param history what is known
     */
    public CrashArchive(Clock clock, Timers timers, RandomGenerator random, Store store, CrashHistory history) {
        this.clock = clock;
        this.timers = timers;
        this.random = random;
        this.store = store;
        this.history = history;
    }

    /**
     * Takes over what stands in the store.
     *
     * @param revision the revision at which the key was written, or removed
     * @param value its value; empty when it was removed
     * @return whether the value could be read
     */
    public boolean read(long revision, String value) {
        if (revision < readRevision) {
            return true;
        }
        readRevision = revision;
        expectedRevision = value.isEmpty() ? 0 : revision;
        Optional<List<CrashReport>> reports =
                value.isEmpty() ? Optional.of(List.of()) : ArchivedCrashes.read(value, clock.wallMillis());
        stored = reports.stream()
                .flatMap(List::stream)
                .collect(Collectors.toMap(CrashReport::request, CrashArchive::replicas, (a, b) -> a));
        reports.ifPresent(all -> all.forEach(history::merge));
        return reports.isPresent();
    }

    private static Set<Integer> replicas(CrashReport report) {
        return report.crashes().stream().map(CrashReport.Crash::replica).collect(Collectors.toSet());
    }

    /** This router has seen an end that may have to be kept. */
    public void crashSeen() {
        unsaved = true;
        if (!waiting) {
            writeIn(random.nextInt(SPREAD_MILLIS));
        }
    }

    private void writeIn(long millis) {
        waiting = true;
        timers.schedule(millis, this::write);
    }

    private void write() {
        List<CrashReport> reports = CrashNews.fitting(history.lastingReports(), MAX_BYTES);
        if (reports.stream().allMatch(this::isStored)) {
            unsaved = false;
            waiting = false;
            return;
        }
        unsaved = false;
        String value = ArchivedCrashes.write(reports, clock.wallMillis());
        store.write(expectedRevision, value)
                .whenComplete((reply, e) -> written(value, e == null ? reply : new Reply.Failed()));
    }

    private boolean isStored(CrashReport report) {
        return stored.getOrDefault(report.request(), Set.of()).containsAll(replicas(report));
    }

    private void written(String value, Reply reply) {
        waiting = false;
        if (reply instanceof Reply.Written done) {
            read(done.revision(), value);
        } else if (reply instanceof Reply.Conflict conflict) {
            expectedRevision = conflict.revision();
            read(conflict.revision(), conflict.value());
            unsaved = true;
        } else {
            writeIn(FAILED_AGAIN_MILLIS);
            return;
        }
        if (unsaved) {
            crashSeen();
        }
    }
}
