package org.hornbeamhead.router;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.outcome.Outcome;
import org.hornbeamhead.core.retry.OutlierDetector;
import org.hornbeamhead.core.retry.RetryBudget;
import org.hornbeamhead.core.time.Clock;

/** The replicas of a plain service, chosen by the fewest calls of this router. Owned by the reactor's thread. */
final class ServicePool {
    private static final class Replica {
        private final OutlierDetector outlier = new OutlierDetector();
        private int calls;
        private long lastUse;
    }

    private final Clock clock;
    private final EndpointAvailability availability;
    private final RetryBudget retries = new RetryBudget();
    private final Map<String, Replica> replicas = new HashMap<>();
    private List<Endpoint> endpoints = List.of();
    private long uses;

    ServicePool(Clock clock, EndpointAvailability availability) {
        this.clock = clock;
        this.availability = availability;
    }

    void listed(List<Endpoint> listed) {
        endpoints = listed;
        replicas.keySet().retainAll(listed.stream().map(Endpoint::address).toList());
        listed.forEach(e -> replicas.computeIfAbsent(e.address(), a -> new Replica()));
    }

    /** Chooses a replica and counts a call; empty when none takes work. */
    Optional<String> choose(Set<String> excluded) {
        Optional<String> chosen = usable().filter(a -> !excluded.contains(a) && availability.accepts(a))
                .min(Comparator.<String>comparingInt(a -> replicas.get(a).calls)
                        .thenComparingLong(a -> replicas.get(a).lastUse));
        chosen.map(replicas::get).ifPresent(r -> {
            r.calls++;
            r.lastUse = ++uses;
        });
        return chosen;
    }

    private Stream<String> usable() {
        long now = clock.monotonicMillis();
        return endpoints.stream()
                .filter(e -> !e.leaving())
                .map(Endpoint::address)
                .filter(a -> !replicas.get(a).outlier.isEjected(now));
    }

    /** Books when a caller may return; empty unless all usable replicas want no requests for now. */
    Optional<Outcome.NotRun> bookReturn() {
        return availability.bookReturn(usable().toList());
    }

    void ended(String address, boolean ok) {
        Replica replica = replicas.get(address);
        if (replica == null) {
            return;
        }
        replica.calls--;
        if (ok) {
            replica.outlier.recordSuccess();
            retries.recordSuccess();
        } else {
            replica.outlier.recordFailure(clock.monotonicMillis());
        }
    }

    void unreachable(String address) {
        Replica replica = replicas.get(address);
        if (replica != null) {
            replica.calls--;
            replica.outlier.recordConnectFailure(clock.monotonicMillis());
        }
    }

    RetryBudget retries() {
        return retries;
    }
}
