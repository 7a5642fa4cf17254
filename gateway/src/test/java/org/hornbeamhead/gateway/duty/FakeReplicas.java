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
 * Replicas of one model that accept orders. Each carries out one order at a time, refuses other orders meanwhile and
 * any order that expects another number of accepted orders, and serves the ordered version once its load is over.
 */
final class FakeReplicas implements ReplicaOrderClient {
    static final String MODEL = "m";

    record SentOrder(String replica, WeightsOrder order, long sentAt) {}

    final List<SentOrder> sentOrders = new ArrayList<>();
    final Set<String> unreachable = new HashSet<>();
    final Set<String> leaving = new HashSet<>();
    long reportedStart = 1;
    long listedStart = 1;
    boolean loseOrders;
    boolean hangReports;
    int reportRequests;

    private final Clock clock;
    private final LongSupplier loadMillis;
    private final Map<String, Load> loads = new HashMap<>();
    private final Map<String, Long> acceptedOrders = new HashMap<>();

    private record Load(long previousVersion, long version, long endsAt) {}

    FakeReplicas(Clock clock, LongSupplier loadMillis) {
        this.clock = clock;
        this.loadMillis = loadMillis;
    }

    void register(int count, ReplicaRegistry registry) {
        IntStream.range(0, count)
                .forEach(i -> registry.put(
                        new ReplicaEntry(
                                "r" + i,
                                listedStart,
                                "s",
                                "10.0.0." + i + ":80",
                                "z",
                                "v1",
                                false,
                                8,
                                Map.of(MODEL, 1L)),
                        1));
    }

    long version(String id) {
        Load load = loads.get(id);
        if (load == null) {
            return 1;
        }
        return isLoading(id) ? load.previousVersion() : load.version();
    }

    boolean isLoading(String id) {
        Load load = loads.get(id);
        return load != null && clock.monotonicMillis() < load.endsAt();
    }

    /** Returns when the replica's last load ended or will end; 0 when it never had one. */
    long loadEndsAt(String id) {
        Load load = loads.get(id);
        return load == null ? 0 : load.endsAt();
    }

    /** Returns the version by replica, for those that have changed. */
    Map<String, Long> changedVersions() {
        Map<String, Long> versions = new HashMap<>();
        loads.keySet().stream().filter(id -> version(id) > 1).forEach(id -> versions.put(id, version(id)));
        return versions;
    }

    @Override
    public Promise<Reply> sendOrder(ReplicaEntry replica, WeightsOrder order) {
        String id = replica.id();
        sentOrders.add(new SentOrder(id, order, clock.monotonicMillis()));
        if (loseOrders || unreachable.contains(id)) {
            return Promise.ofException(new IllegalStateException("no answer"));
        }
        if (isLoading(id) || order.ordersBefore() != acceptedOrders.getOrDefault(id, 0L)) {
            return Promise.of(Reply.CONFLICT);
        }
        acceptedOrders.merge(id, 1L, Long::sum);
        long endsAt = clock.monotonicMillis() + loadMillis.getAsLong();
        loads.put(id, new Load(version(id), order.version(), endsAt));
        return Promise.of(Reply.ACCEPTED);
    }

    @Override
    public Promise<Report> fetchReport(ReplicaEntry replica) {
        String id = replica.id();
        reportRequests++;
        if (hangReports) {
            return new SettablePromise<>();
        }
        if (unreachable.contains(id)) {
            return Promise.ofException(new IllegalStateException("no answer"));
        }
        Map<String, Long> weights = Map.of(MODEL, version(id));
        return Promise.of(new Report(
                reportedStart, weights, isLoading(id), acceptedOrders.getOrDefault(id, 0L), leaving.contains(id)));
    }
}
