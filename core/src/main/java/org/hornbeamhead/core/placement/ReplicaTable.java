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

/** One router's view of one pool. Owned by the router's thread. */
public final class ReplicaTable {
    private final Clock clock;
    private final Map<String, Replica> byAddress = new LinkedHashMap<>();
    private ReplicaRing ring = ReplicaRing.of(List.of());
    private String model = "";

    /**
     * Makes an empty table.
     *
     * @param clock the clock
     */
    public ReplicaTable(Clock clock) {
        this.clock = clock;
    }

    /**
     * Takes over the pool's lines of the host list. Replicas that are still listed keep what is known of them.
     *
     * @param listed the pool's endpoints
     */
    public void listed(Collection<Endpoint> listed) {
        Map<String, Endpoint> wanted = listed.stream()
                .collect(Collectors.toMap(Endpoint::address, Function.identity(), (a, b) -> b, LinkedHashMap::new));
        byAddress.keySet().retainAll(wanted.keySet());
        wanted.values().forEach(this::update);
        rebuild();
    }

    private void update(Endpoint endpoint) {
        byAddress
                .computeIfAbsent(endpoint.address(), a -> new Replica(endpoint, new OutlierDetector()))
                .endpoint(endpoint);
    }

    /**
     * Takes in a load report. A replica that serves another model than the pool's is no candidate.
     *
     * @param address the replica
     * @param report its report
     */
    public void report(String address, LoadReport report) {
        Replica replica = byAddress.get(address);
        if (replica == null) {
            return;
        }
        boolean before = onRing(replica);
        replica.report(report, clock.monotonicMillis());
        if (before != onRing(replica)) {
            rebuild();
        }
    }

    /**
     * Sets the model that the pool serves.
     *
     * @param wanted the model; empty accepts any
     */
    public void model(String wanted) {
        if (!model.equals(wanted)) {
            model = wanted;
            rebuild();
        }
    }

    /**
     * Notes a dispatch.
     *
     * @param chain the prompt's levels
     * @param choice what was chosen
     */
    public void dispatched(PrefixChain chain, PlacementChoice choice) {
        choice.replica().dispatched(chain, choice.missedTokens(), clock.monotonicMillis());
    }

    /**
     * Notes a first token, which frees the replica's prefill and teaches its speed.
     *
     * @param choice what was chosen
     * @param elapsedMillis the time since dispatch
     */
    public void firstToken(PlacementChoice choice, double elapsedMillis) {
        choice.replica().firstToken(choice, elapsedMillis, clock.monotonicMillis());
    }

    /**
     * Notes a whole answer.
     *
     * @param choice what was chosen
     * @param cachedTokens the cached tokens that the engine counted; negative when it gave no count
     */
    public void ended(PlacementChoice choice, int cachedTokens) {
        choice.replica().ended();
        choice.replica().outlier().recordSuccess();
        if (cachedTokens >= 0) {
            choice.replica().cached().correct(choice.belief(), cachedTokens);
        }
    }

    /**
     * Notes an attempt that was given up.
     *
     * @param choice what was chosen
     * @param sawFirstToken whether the first token had come
     */
    public void abandoned(PlacementChoice choice, boolean sawFirstToken) {
        choice.replica().abandoned(sawFirstToken ? 0 : choice.missedTokens());
    }

    /**
     * Finds a replica.
     *
     * @param address its address
     * @return the replica, empty when not listed
     */
    public Optional<Replica> find(String address) {
        return Optional.ofNullable(byAddress.get(address));
    }

    /**
     * Returns all replicas listed.
     *
     * @return a live view, not to be changed
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

    private boolean onRing(Replica replica) {
        boolean unknown = replica.model().isEmpty();
        return !replica.endpoint().leaving()
                && (model.isEmpty() || unknown || replica.model().equals(model));
    }

    private void rebuild() {
        ring = ring.with(byAddress.values().stream()
                .filter(this::onRing)
                .map(Replica::address)
                .toList());
    }
}
