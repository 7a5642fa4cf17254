package org.hornbeamhead.gateway.quarantine;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.hornbeamhead.core.crash.CrashHistory;
import org.hornbeamhead.core.crash.CrashNews;
import org.hornbeamhead.core.crash.CrashReport;
import org.hornbeamhead.core.crash.RequestFingerprint;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.state.PlatformStore;

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

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Writers wait for up to this, so that the first of them writes for the others. */
    private static final int SPREAD_MILLIS = 200;

    private static final long FAILED_AGAIN_MILLIS = 1_000;
    private static final String WRITTEN = "writtenWallMillis";
    private static final String REPORTS = "reports";
    /** Every router hears of each change, so the value stays small. */
    private static final int MAX_BYTES = 4_096;

    private final Clock clock;
    private final Timers timers;
    private final RandomGenerator random;
    private final PlatformStore store;
    private final CrashHistory history;
    private Map<RequestFingerprint, Set<Integer>> stored = Map.of();
    private long readRevision;
    private long expectedRevision;
    private boolean unsaved;
    private boolean writing;

    /**
     * Makes an archive that has read nothing.
     *
     * @param clock the clock
     * @param timers the thread's timers
     * @param random spreads the writers
     * @param store the store
     * @param history what is known
     */
    public CrashArchive(Clock clock, Timers timers, RandomGenerator random, PlatformStore store, CrashHistory history) {
        this.clock = clock;
        this.timers = timers;
        this.random = random;
        this.store = store;
        this.history = history;
    }

    /**
     * Takes over what stands in the store.
     *
     * @param item the key
     */
    public void read(StoreItem item) {
        if (item.revision() < readRevision) {
            return;
        }
        readRevision = item.revision();
        expectedRevision = item.removed() ? 0 : item.revision();
        List<CrashReport> reports = item.removed() ? List.of() : reports(item);
        stored = reports.stream().collect(Collectors.toMap(CrashReport::request, CrashArchive::replicas, (a, b) -> a));
        reports.forEach(history::merge);
    }

    private List<CrashReport> reports(StoreItem item) {
        return Json.parse(item.value())
                .flatMap(this::reports)
                .peekLeft(why -> logger.atWarning()
                        .with(Logs.REASON, why)
                        .with(Logs.INPUTS, "revision=" + item.revision())
                        .log("key %s cannot be read and is passed over", KEY))
                .getOrElse(List.of());
    }

    /** The ages in the value count from its writing; a wall clock that is behind makes them no younger. */
    private Either<String, List<CrashReport>> reports(JsonNode value) {
        long since = Math.max(0, clock.wallMillis() - value.path(WRITTEN).asLong());
        return bytes(value.path(REPORTS).asText())
                .flatMap(CrashNews::decode)
                .map(all -> Either.<String, List<CrashReport>>right(
                        all.stream().map(r -> r.older(since)).toList()))
                .orElseGet(() -> Either.left("no crash reports"));
    }

    private static Optional<byte[]> bytes(String base64) {
        try {
            return Optional.of(Base64.getDecoder().decode(base64));
        } catch (IllegalArgumentException e) {
            logger.atFine().withCause(e).log("no base 64");
            return Optional.empty();
        }
    }

    private static Set<Integer> replicas(CrashReport report) {
        return report.crashes().stream().map(CrashReport.Crash::replica).collect(Collectors.toSet());
    }

    /** This router has seen an end that may have to be kept. */
    public void crashSeen() {
        unsaved = true;
        if (!writing) {
            writing = true;
            timers.schedule(random.nextInt(SPREAD_MILLIS), this::write);
        }
    }

    private void write() {
        writing = false;
        List<CrashReport> reports = CrashNews.fitting(history.lastingReports(), MAX_BYTES);
        if (!unsaved || reports.stream().allMatch(this::isStored)) {
            unsaved = false;
            return;
        }
        unsaved = false;
        writing = true;
        store.write(KEY, OptionalLong.of(expectedRevision), text(reports), Optional.empty())
                .subscribe((reply, e) -> written(reports, reply, e));
    }

    private boolean isStored(CrashReport report) {
        return stored.getOrDefault(report.request(), Set.of()).containsAll(replicas(report));
    }

    private String text(List<CrashReport> reports) {
        return Json.write(Json.object()
                .put(WRITTEN, clock.wallMillis())
                .put(REPORTS, Base64.getEncoder().encodeToString(CrashNews.encode(reports))));
    }

    private void written(List<CrashReport> reports, PlatformStore.WriteReply reply, Exception e) {
        writing = false;
        if (e == null && reply instanceof PlatformStore.WriteReply.Written done) {
            logger.atInfo()
                    .with(Logs.DECISION, "crashes kept")
                    .with(Logs.INPUTS, "requests=" + reports.size() + " revision=" + done.revision())
                    .log("crash reports are kept in the store");
            expectedRevision = done.revision();
            return;
        }
        if (e == null && reply instanceof PlatformStore.WriteReply.Conflict conflict) {
            expectedRevision = conflict.current().map(StoreItem::revision).orElse(0L);
            conflict.current().ifPresent(this::read);
            crashSeen();
            return;
        }
        unsaved = true;
        writing = true;
        timers.schedule(FAILED_AGAIN_MILLIS, this::write);
    }
}
