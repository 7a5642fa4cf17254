package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Try;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.resume.SoftwareHistory;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.daemon.Logs;

/**
 * Keeps the software versions that services have had lately in the store, where they outlive the routers. Routers that
 * start together could not tell otherwise whether a stream was begun by a version that is gone.
 */
public final class SoftwareVersionRecorder {
    /** The key in the store. */
    public static final String KEY = "hornbeam/software";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long INTERVAL_MILLIS = 500;
    /** Longer than any stream lasts. */
    private static final long KEPT_MILLIS = 120_000;

    private static final int HEX = 16;

    private final Clock clock;
    private final Timers timers;
    private final PlatformStore store;
    private final StoreMirror mirror;
    private final SoftwareHistory history;
    private final BooleanSupplier writes;
    private Recorded recorded = new Recorded(0, Map.of());
    private boolean writing;

    /**
     * The value in the store.
     *
     * @param sinceMillis from when on no version is left out, on the wall clock
     * @param services for each service and version, as a hexadecimal number, when its last replica was listed, on the
     *     wall clock; 0 if one is listed
     */
    record Recorded(long sinceMillis, Map<String, Map<String, Long>> services) {
        Recorded {
            services = services == null ? Map.of() : Map.copyOf(services);
        }
    }

    /**
     * Creates a recorder that is not started yet.
     *
     * @param clock the clock
     * @param timers the timers
     * @param store the store
     * @param mirror what is known of the store
     * @param history the versions
     * @param writes whether this router is the one that records, and its list of replicas is current
     */
    public SoftwareVersionRecorder(
            Clock clock,
            Timers timers,
            PlatformStore store,
            StoreMirror mirror,
            SoftwareHistory history,
            BooleanSupplier writes) {
        this.clock = clock;
        this.timers = timers;
        this.store = store;
        this.mirror = mirror;
        this.history = history;
        this.writes = writes;
    }

    /** Starts to record. */
    public void start() {
        if (!writing && writes.getAsBoolean()) {
            recordChanges();
        }
        timers.schedule(INTERVAL_MILLIS, this::start);
    }

    private void recordChanges() {
        Recorded current = encode(history.snapshot(KEPT_MILLIS, clock.monotonicMillis()), clock.wallMillis());
        if (hasSameVersions(current, recorded)) {
            return;
        }
        writing = true;
        OptionalLong expected =
                OptionalLong.of(mirror.get(KEY).map(StoreItem::revision).orElse(0L));
        store.write(KEY, expected, Json.write(current), Optional.empty()).subscribe((reply, e) -> {
            writing = false;
            logger.atInfo()
                    .withCause(e)
                    .with(Logs.DECISION, "software versions recorded")
                    .with(Logs.INPUTS, "services=" + current.services() + " reply=" + reply)
                    .log("recording the software versions of services");
        });
    }

    /** Returns whether the same versions are listed, and the same ones are gone that may still matter. */
    private boolean hasSameVersions(Recorded current, Recorded stored) {
        return stored.sinceMillis() != 0 && listed(current).equals(listed(stored));
    }

    private Map<String, Map<String, Boolean>> listed(Recorded value) {
        long oldest = clock.wallMillis() - KEPT_MILLIS;
        Map<String, Map<String, Boolean>> listed = new HashMap<>();
        value.services().forEach((service, versions) -> versions.entrySet().stream()
                .filter(v -> v.getValue() == 0 || v.getValue() > oldest)
                .forEach(v ->
                        listed.computeIfAbsent(service, s -> new HashMap<>()).put(v.getKey(), v.getValue() == 0)));
        return listed;
    }

    private static Recorded encode(SoftwareHistory.Snapshot snapshot, long wallMillis) {
        Map<String, Map<String, Long>> services = snapshot.services().entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, s -> s.getValue().entrySet().stream()
                        .collect(Collectors.toMap(
                                v -> v.getKey().toString(), v -> v.getValue() == 0 ? 0 : wallMillis - v.getValue()))));
        return new Recorded(wallMillis - snapshot.completeMillis(), services);
    }

    /**
     * Applies a change of the item in the store.
     *
     * @param item the item with the key {@link #KEY}
     */
    public void apply(StoreItem item) {
        if (item.removed()) {
            recorded = new Recorded(0, Map.of());
            return;
        }
        Json.read(item.value(), Recorded.class)
                .flatMap(value -> Try.of(() -> decode(value, clock.wallMillis()))
                        .toEither()
                        .peek(snapshot -> history.merge(snapshot, clock.monotonicMillis()))
                        .map(snapshot -> value)
                        .mapLeft(Throwable::toString))
                .peek(value -> recorded = value)
                .peekLeft(reason -> logger.atWarning().log("the recorded software versions are ignored: %s", reason));
    }

    private static SoftwareHistory.Snapshot decode(Recorded value, long wallMillis) {
        Map<String, Map<SoftwareVersion, Long>> services = value.services().entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, s -> s.getValue().entrySet().stream()
                        .collect(Collectors.toMap(
                                v -> new SoftwareVersion(Long.parseUnsignedLong(v.getKey(), HEX)),
                                v -> v.getValue() == 0 ? 0 : Math.max(0, wallMillis - v.getValue())))));
        return new SoftwareHistory.Snapshot(Math.max(0, wallMillis - value.sinceMillis()), services);
    }
}
