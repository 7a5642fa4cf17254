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
 * Persists the crash history of one kind of features in the platform's store, so that it survives a restart of all
 * routers.
 *
 * <p>One key holds the reports of all features that were present when two or more replicas crashed. A router that
 * observes such a crash merges its reports with the stored ones and writes the key, unless another router has already
 * stored the same crashes.
 *
 * <p>Not thread-safe: all calls must come from one thread.
 */
public final class CrashHistoryPersister {
    /** The store key that holds the crash reports on contents. */
    public static final String CONTENT_KEY = "hornbeam/crashes";
    /** The store key that holds the crash reports on prompt parts. */
    public static final String PROMPT_PART_KEY = "hornbeam/crashing-prompt-parts";

    /** Upper bound of the random write delay. The first router to write usually spares the others their write. */
    private static final int MAX_WRITE_DELAY_MILLIS = 200;

    private static final long RETRY_DELAY_MILLIS = 1_000;
    /** Limits the value, since the store sends each change to every router. */
    private static final int MAX_VALUE_BYTES = 4_096;

    private final Clock clock;
    private final Timers timers;
    private final RandomGenerator random;
    private final Store store;
    private final CrashHistory history;
    private final CrashFeature.Kind kind;
    private Map<CrashFeature, Set<Integer>> storedReplicas = Map.of();
    private long readRevision;
    private long expectedRevision;
    private boolean unsaved;
    private boolean writePending;

    /** Conditional writes to the store key. */
    @FunctionalInterface
    public interface Store {
        /**
         * Writes the key if it still has the expected revision.
         *
         * @param expectedRevision the expected revision, 0 if the key must be absent
         * @param value the new value
         * @return the result of the write
         */
        CompletionStage<Reply> write(long expectedRevision, String value);
    }

    /** The result of a write. */
    public sealed interface Reply {
        /**
         * The value was written.
         *
         * @param revision the key's new revision
         */
        record Written(long revision) implements Reply {}

        /**
         * The key had a different revision and was not written.
         *
         * @param revision the current revision, 0 if the key is absent
         * @param value the current value, empty if the key is absent
         */
        record Conflict(long revision, String value) implements Reply {}

        /** The write failed; the value may or may not have been written. */
        record Failed() implements Reply {}
    }

    /**
     * Creates a persister that has not yet read the store.
     *
     * @param clock the clock
     * @param timers timers that run on the owning thread
     * @param random randomizes the write delays of the routers
     * @param store the store
     * @param history the crash history
     * @param kind the kind of features that this persister saves
     */
    public CrashHistoryPersister(
            Clock clock,
            Timers timers,
            RandomGenerator random,
            Store store,
            CrashHistory history,
            CrashFeature.Kind kind) {
        this.clock = clock;
        this.timers = timers;
        this.random = random;
        this.store = store;
        this.history = history;
        this.kind = kind;
    }

    /**
     * Returns the store key for one kind of features.
     *
     * @param kind the kind
     * @return the key
     */
    public static String key(CrashFeature.Kind kind) {
        return kind == CrashFeature.Kind.CONTENT ? CONTENT_KEY : PROMPT_PART_KEY;
    }

    /**
     * Merges the stored reports into the history. Ignores a revision older than the last one read.
     *
     * @param revision the revision at which the key was written or removed
     * @param value the stored value, empty if the key was removed
     * @return false if the value is malformed
     */
    public boolean mergeStored(long revision, String value) {
        if (revision < readRevision) {
            return true;
        }
        readRevision = revision;
        expectedRevision = value.isEmpty() ? 0 : revision;
        Optional<List<CrashReport>> reports =
                value.isEmpty() ? Optional.of(List.of()) : CrashReportText.decode(value, clock.wallMillis());
        storedReplicas = reports.stream()
                .flatMap(List::stream)
                .collect(Collectors.toMap(CrashReport::feature, CrashHistoryPersister::replicas, (a, b) -> a));
        reports.ifPresent(all -> all.forEach(history::merge));
        return reports.isPresent();
    }

    private static Set<Integer> replicas(CrashReport report) {
        return report.crashes().stream().map(CrashReport.Crash::replica).collect(Collectors.toSet());
    }

    /** Schedules a write after this router has recorded a crash. */
    public void crashRecorded() {
        unsaved = true;
        if (!writePending) {
            scheduleWrite(random.nextInt(MAX_WRITE_DELAY_MILLIS));
        }
    }

    private void scheduleWrite(long delayMillis) {
        writePending = true;
        timers.schedule(delayMillis, this::write);
    }

    private void write() {
        List<CrashReport> reports = CrashReportCodec.limitToSize(history.reportsToPersist(kind), MAX_VALUE_BYTES);
        if (reports.stream().allMatch(this::isStored)) {
            unsaved = false;
            writePending = false;
            return;
        }
        unsaved = false;
        String value = CrashReportText.encode(reports, clock.wallMillis());
        store.write(expectedRevision, value)
                .whenComplete((reply, e) -> writeCompleted(value, e == null ? reply : new Reply.Failed()));
    }

    private boolean isStored(CrashReport report) {
        return storedReplicas.getOrDefault(report.feature(), Set.of()).containsAll(replicas(report));
    }

    private void writeCompleted(String value, Reply reply) {
        writePending = false;
        if (reply instanceof Reply.Written written) {
            mergeStored(written.revision(), value);
        } else if (reply instanceof Reply.Conflict conflict) {
            expectedRevision = conflict.revision();
            mergeStored(conflict.revision(), conflict.value());
            unsaved = true;
        } else {
            scheduleWrite(RETRY_DELAY_MILLIS);
            return;
        }
        if (unsaved) {
            crashRecorded();
        }
    }
}
