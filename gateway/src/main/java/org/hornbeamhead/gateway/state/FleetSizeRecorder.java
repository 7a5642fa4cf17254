package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.settings.Decimals;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;

/**
 * Keeps the number of routers in the store, where it outlives the routers' own entries.
 *
 * <p>When all routers are killed, their entries lapse. Until all have written new ones, which takes as long as the
 * store is away, each would divide limits over the fleet by the few that it knows, or by none. One router records the
 * size, a larger one soon and a smaller one only when it has lasted.
 */
public final class FleetSizeRecorder {
    /** The key in the store. */
    public static final String KEY = "hornbeam/fleet";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_SIZE = 1_000_000;
    private static final long INTERVAL_MILLIS = 1_000;
    /** A larger size is recorded after this time, so that routers that start together cost one write. */
    private static final long GROWTH_MILLIS = 2_000;
    /** A smaller size is recorded after this time; routers that were lost together are back before. */
    private static final long SHRINK_MILLIS = 60_000;

    private final Clock clock;
    private final Timers timers;
    private final PlatformStore store;
    private final StoreMirror mirror;
    private final RouterList routers;
    private final BooleanSupplier listCurrent;
    private int lastCount;
    private long countSinceMillis;

    /**
     * Creates a recorder that is not started yet.
     *
     * @param clock the clock
     * @param timers the timers
     * @param store the store
     * @param mirror what is known of the store
     * @param routers the listed routers
     * @param listCurrent whether the list is current
     */
    public FleetSizeRecorder(
            Clock clock,
            Timers timers,
            PlatformStore store,
            StoreMirror mirror,
            RouterList routers,
            BooleanSupplier listCurrent) {
        this.clock = clock;
        this.timers = timers;
        this.store = store;
        this.mirror = mirror;
        this.routers = routers;
        this.listCurrent = listCurrent;
    }

    /** Starts to record. */
    public void start() {
        step();
        timers.schedule(INTERVAL_MILLIS, this::start);
    }

    private void step() {
        long now = clock.monotonicMillis();
        int count = routers.count();
        if (!listCurrent.getAsBoolean() || count != lastCount) {
            lastCount = count;
            countSinceMillis = now;
            return;
        }
        Optional<StoreItem> recorded = mirror.get(KEY);
        int size = recorded.map(item -> parse(item).orElse(0)).orElse(0);
        long requiredMillis = count > size ? GROWTH_MILLIS : SHRINK_MILLIS;
        if (count != size && now - countSinceMillis >= requiredMillis && routers.isFirstReader()) {
            record(count, recorded.map(StoreItem::revision).orElse(0L));
        }
    }

    private void record(int size, long expectedRevision) {
        countSinceMillis = clock.monotonicMillis();
        store.write(KEY, OptionalLong.of(expectedRevision), Integer.toString(size), Optional.empty())
                .subscribe((reply, e) -> logger.atInfo()
                        .withCause(e)
                        .with(Logs.DECISION, "fleet size recorded")
                        .with(Logs.INPUTS, "routers=" + size + " reply=" + reply)
                        .log("recording the size of the fleet"));
    }

    /**
     * Parses the recorded size.
     *
     * @param item the item in the store
     * @return the number of routers, empty if it was removed or is not valid
     */
    static OptionalInt parse(StoreItem item) {
        if (item.removed()) {
            return OptionalInt.empty();
        }
        return Decimals.parseWhole(item.value(), 1, MAX_SIZE)
                .peekLeft(reason -> logger.atWarning().log("the recorded size of the fleet is ignored: %s", reason))
                .fold(reason -> OptionalInt.empty(), OptionalInt::of);
    }
}
