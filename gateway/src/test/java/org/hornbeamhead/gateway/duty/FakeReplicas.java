package org.hornbeamhead.gateway.duty;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;

/**
 * Replicas of one model that take orders: each carries out one at a time, refuses any other meanwhile and any that
 * expects another number of orders, and serves the ordered version once its load is over.
 */
final class FakeReplicas implements ReplicaOrders {
    static final String MODEL = "m";

    record Given(String replica, WeightsOrder order, long at) {}

    final List<Given> given = new ArrayList<>();
    final Set<String> dark = new HashSet<>();
    long reportedStart = 1;
    long listedStart = 1;
    boolean ordersAreLost;
    boolean reportsHang;
    int reportsAsked;

    private final Clock clock;
    private final LongSupplier loadMillis;
    private final Map<String, Loading> loads = new HashMap<>();
    private final Map<String, Long> accepted = new HashMap<>();

    private record Loading(long before, long version, long doneAt) {}

    FakeReplicas(Clock clock, LongSupplier loadMillis) {
        this.clock = clock;
        this.loadMillis = loadMillis;
    }

    void list(int count, ReplicaRegistry registry) {
        IntStream.range(0, count)
                .forEach(i -> registry.put(
                        new ReplicaEntry(
                                "r" + i, listedStart, "s", "10.0.0." + i + ":80", "z", false, 8, Map.of(MODEL, 1L)),
                        1));
    }

    long version(String id) {
        Loading l = loads.get(id);
        if (l == null) {
            return 1;
        }
        return loading(id) ? l.before() : l.version();
    }

    boolean loading(String id) {
        Loading l = loads.get(id);
        return l != null && clock.monotonicMillis() < l.doneAt();
    }

    /** When the replica's last load was over or will be; 0 when it never had one. */
    long loadedAt(String id) {
        Loading l = loads.get(id);
        return l == null ? 0 : l.doneAt();
    }

    /** The version by replica of those that have changed. */
    Map<String, Long> changed() {
        Map<String, Long> changed = new HashMap<>();
        loads.keySet().stream().filter(id -> version(id) > 1).forEach(id -> changed.put(id, version(id)));
        return changed;
    }

    @Override
    public Promise<Reply> give(ReplicaEntry replica, WeightsOrder order) {
        String id = replica.id();
        given.add(new Given(id, order, clock.monotonicMillis()));
        if (ordersAreLost || dark.contains(id)) {
            return Promise.ofException(new IllegalStateException("no answer"));
        }
        if (loading(id) || order.ordersBefore() != accepted.getOrDefault(id, 0L)) {
            return Promise.of(Reply.CONFLICT);
        }
        accepted.merge(id, 1L, Long::sum);
        long doneAt = clock.monotonicMillis() + loadMillis.getAsLong();
        loads.put(id, new Loading(version(id), order.version(), doneAt));
        return Promise.of(Reply.ACCEPTED);
    }

    @Override
    public Promise<Report> report(ReplicaEntry replica) {
        String id = replica.id();
        reportsAsked++;
        if (reportsHang) {
            return new SettablePromise<>();
        }
        if (dark.contains(id)) {
            return Promise.ofException(new IllegalStateException("no answer"));
        }
        Map<String, Long> weights = Map.of(MODEL, version(id));
        return Promise.of(new Report(reportedStart, weights, loading(id), accepted.getOrDefault(id, 0L)));
    }
}
