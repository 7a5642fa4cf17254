package org.hornbeamhead.core.placement;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.retry.OutlierDetector;
import org.hornbeamhead.core.time.Clock;

/** One router's view of the replicas of one pool. Owned by the router's thread. */
public final class ReplicaTable {
    private final Clock clock;
    private final Map<String, Replica> byAddress = new LinkedHashMap<>();
    private ReplicaRing ring = ReplicaRing.of(List.of());
    private String model = "";

    /**
     * Creates an empty table.
     *
     * @param clock the clock
     */
    public ReplicaTable(Clock clock) {
        this.clock = clock;
    }

    /**
     * Sets the pool's endpoints from the host list. The state of replicas that are still listed is kept.
     *
     * @param endpoints the pool's endpoints
     */
    public void setEndpoints(Collection<Endpoint> endpoints) {
        Map<String, Endpoint> byEndpointAddress = endpoints.stream()
                .collect(Collectors.toMap(Endpoint::address, Function.identity(), (a, b) -> b, LinkedHashMap::new));
        byAddress.keySet().retainAll(byEndpointAddress.keySet());
        byEndpointAddress.values().forEach(this::update);
        rebuildRing();
    }

    private void update(Endpoint endpoint) {
        byAddress
                .computeIfAbsent(endpoint.address(), a -> new Replica(endpoint, new OutlierDetector()))
                .endpoint(endpoint);
    }

    /**
     * Applies a load report. A replica that serves another model than the pool's is removed from the ring.
     *
     * @param address the replica's address
     * @param report the load report
     */
    public void applyReport(String address, LoadReport report) {
        Replica replica = byAddress.get(address);
        if (replica == null) {
            return;
        }
        boolean wasOnRing = belongsOnRing(replica);
        replica.applyReport(report, clock.monotonicMillis());
        if (wasOnRing != belongsOnRing(replica)) {
            rebuildRing();
        }
    }

    /**
     * Sets the model that the pool serves.
     *
     * @param wanted the model; empty if any model is accepted
     */
    public void setModel(String wanted) {
        if (!model.equals(wanted)) {
            model = wanted;
            rebuildRing();
        }
    }

    /**
     * Records that a request was sent to a replica.
     *
     * @param chain the prompt's prefix levels
     * @param choice the choice of the replica
     */
    public void recordDispatch(PrefixChain chain, PlacementChoice choice) {
        choice.replica().recordDispatch(chain, choice.uncachedTokens(), clock.monotonicMillis());
    }

    /**
     * Records the first token of a response, which ends the request's prefill and updates the estimate of the replica's
     * speed.
     *
     * @param choice the choice of the replica
     * @param elapsedMillis the time since dispatch, in milliseconds
     */
    public void recordFirstToken(PlacementChoice choice, double elapsedMillis) {
        choice.replica().recordFirstToken(choice, elapsedMillis, clock.monotonicMillis());
    }

    /**
     * Records a complete response.
     *
     * @param choice the choice of the replica
     * @param cachedTokens the number of cached tokens that the engine reported; negative if it reported none
     */
    public void recordCompletion(PlacementChoice choice, int cachedTokens) {
        choice.replica().recordCompletion();
        choice.replica().outlier().recordSuccess();
        if (cachedTokens >= 0) {
            choice.replica().cachedPrefixes().recordCachedTokens(choice.cacheEstimate(), cachedTokens);
        }
    }

    /**
     * Records an abandoned attempt.
     *
     * @param choice the choice of the replica
     * @param sawFirstToken whether the first token had been received
     */
    public void recordAbandoned(PlacementChoice choice, boolean sawFirstToken) {
        choice.replica().recordAbandoned(sawFirstToken ? 0 : choice.uncachedTokens());
    }

    /**
     * Returns the replica at an address.
     *
     * @param address the address
     * @return the replica; empty if it is not listed
     */
    public Optional<Replica> find(String address) {
        return Optional.ofNullable(byAddress.get(address));
    }

    /**
     * Returns all listed replicas.
     *
     * @return a live view, which must not be modified
     */
    public Collection<Replica> replicas() {
        return byAddress.values();
    }

    /**
     * Returns the ring of replicas that serve the pool's model.
     *
     * @return the ring
     */
    public ReplicaRing ring() {
        return ring;
    }

    /**
     * Returns the clock.
     *
     * @return the clock
     */
    public Clock clock() {
        return clock;
    }

    private boolean belongsOnRing(Replica replica) {
        boolean unknown = replica.model().isEmpty();
        return !replica.endpoint().leaving()
                && (model.isEmpty() || unknown || replica.model().equals(model));
    }

    private void rebuildRing() {
        ring = ring.withReplicas(byAddress.values().stream()
                .filter(this::belongsOnRing)
                .map(Replica::address)
                .toList());
    }
}
