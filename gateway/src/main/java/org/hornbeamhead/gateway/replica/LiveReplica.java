package org.hornbeamhead.gateway.replica;

import org.hornbeamhead.core.engine.EngineLoad;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.retry.OutlierDetector;

/** One run of a replica, as this router knows it: its entry, its connections, its work, its failures. */
public final class LiveReplica {
    private final ReplicaConnections connections;
    private final EngineLoad load = new EngineLoad();
    private final OutlierDetector guard = new OutlierDetector();
    private ReplicaEntry entry;
    private long knownWeights;
    private boolean withheld;

    LiveReplica(ReplicaEntry entry, ReplicaConnections connections) {
        this.entry = entry;
        this.connections = connections;
    }

    void update(ReplicaEntry newer) {
        entry = newer;
        withheld = false;
    }

    /** The registry names this replica in a way that nobody can read: it gets nothing until its next good entry. */
    void withhold() {
        withheld = true;
    }

    boolean isRenewedBy(ReplicaEntry newer) {
        return !withheld && entry.equals(newer);
    }

    /**
     * Names the run in few bytes, so that what other routers tell of an earlier run is not taken for this one.
     *
     * @return a hash of the run's name
     */
    public int hash() {
        return entry.run().hashCode();
    }

    /**
     * Returns the registry's entry.
     *
     * @return the newest entry
     */
    public ReplicaEntry entry() {
        return entry;
    }

    /**
     * Returns the connections.
     *
     * @return this router's connections to the replica
     */
    public ReplicaConnections connections() {
        return connections;
    }

    /**
     * Returns the work at the replica.
     *
     * @return the load as this router knows it
     */
    public EngineLoad load() {
        return load;
    }

    /**
     * Returns the record of failures.
     *
     * @return the guard
     */
    public OutlierDetector guard() {
        return guard;
    }

    /**
     * Tells which weights the replica serves. An answer or the holder of the duty may tell a change before the registry
     * does; versions only rise during one run.
     *
     * @param model the model
     * @return the version, 0 when it does not serve the model
     */
    public long weights(String model) {
        return Math.max(knownWeights, entry.weights().getOrDefault(model, 0L));
    }

    /**
     * Notes a version that was seen at the replica.
     *
     * @param version the version
     */
    public void sawWeights(long version) {
        knownWeights = Math.max(knownWeights, version);
    }

    /**
     * Tells whether new requests may go there.
     *
     * @return false for a replica that leaves, or whose entry cannot be read
     */
    public boolean takesWork() {
        return !entry.draining() && !withheld;
    }
}
