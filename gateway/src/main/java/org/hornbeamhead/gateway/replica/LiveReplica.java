package org.hornbeamhead.gateway.replica;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamhead.core.availability.NoticeState;
import org.hornbeamhead.core.engine.EngineLoad;
import org.hornbeamhead.core.limit.BrittleLimit;
import org.hornbeamhead.core.limit.RequestLimiter;
import org.hornbeamhead.core.load.StatedLoad;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.retry.OutlierDetector;

/** One run of a replica as this router knows it: its entry, connections, load and failures. */
public final class LiveReplica {
    private final ReplicaConnectionPool connections;
    private final EngineLoad load = new EngineLoad();
    private final StatedLoad statedLoad = new StatedLoad();
    private final OutlierDetector guard = new OutlierDetector();
    private final RunStatements statements;
    private final SoftwareVersion software;
    private final Map<String, Long> observedVersions = new HashMap<>();
    private ReplicaEntry entry;
    private boolean entryInvalid;
    private boolean crashed;

    LiveReplica(ReplicaEntry entry, ReplicaConnectionPool connections, RunStatements statements) {
        this.entry = entry;
        this.connections = connections;
        this.statements = statements;
        this.software = entry.software();
    }

    void update(ReplicaEntry newer) {
        entry = newer;
        entryInvalid = false;
    }

    /** Excludes the replica from new requests until its next readable entry, since its current entry cannot be read. */
    void markEntryInvalid() {
        entryInvalid = true;
    }

    boolean isUnchangedBy(ReplicaEntry newer) {
        return !entryInvalid && entry.equals(newer);
    }

    boolean runsSoftwareOf(ReplicaEntry newer) {
        return entry.softwareVersion().equals(newer.softwareVersion());
    }

    /**
     * Returns a compact identifier of the run. Other routers send it in their hints, so that hints for an earlier run
     * are not applied to this one.
     *
     * @return a hash of the run's name
     */
    public int runHash() {
        return entry.run().hashCode();
    }

    /**
     * Returns the entry in the registry.
     *
     * @return the newest entry
     */
    public ReplicaEntry entry() {
        return entry;
    }

    /**
     * Returns the version of the software, which does not change during a run.
     *
     * @return the version
     */
    public SoftwareVersion software() {
        return software;
    }

    /**
     * Returns the connection pool.
     *
     * @return this router's connections to the replica
     */
    public ReplicaConnectionPool connections() {
        return connections;
    }

    /**
     * Returns the load.
     *
     * @return the load of the replica as this router knows it
     */
    public EngineLoad load() {
        return load;
    }

    /**
     * Returns what the replica states of its load.
     *
     * @return the newest statement that this router knows
     */
    public StatedLoad statedLoad() {
        return statedLoad;
    }

    /**
     * Returns the guard that ejects the replica after failures.
     *
     * @return the guard
     */
    public OutlierDetector guard() {
        return guard;
    }

    /**
     * Returns the limiter of the requests that all routers send to the replica.
     *
     * @return the limiter
     */
    public RequestLimiter limiter() {
        return statements.limiter();
    }

    /**
     * Returns the limit of the requests in progress while the replica is brittle.
     *
     * @return the limit
     */
    public BrittleLimit brittleLimit() {
        return statements.brittleLimit();
    }

    /**
     * Returns what the replica said about whether it takes requests.
     *
     * @return the state of its notices
     */
    public NoticeState notices() {
        return statements.notices();
    }

    /**
     * Returns the version of the weights that the replica serves. A response of the replica or an announcement of the
     * leader may show a change before the registry does; versions only rise during a run.
     *
     * @param model the model
     * @return the version, 0 when the replica does not serve the model
     */
    public long weightsVersion(String model) {
        return Math.max(
                observedVersions.getOrDefault(model, 0L), entry.weights().getOrDefault(model, 0L));
    }

    /**
     * Records a version that the replica was seen to serve.
     *
     * @param model the model
     * @param version the version
     */
    public void observeVersion(String model, long version) {
        observedVersions.merge(model, version, Math::max);
    }

    RunStatements statements() {
        return statements;
    }

    /**
     * Returns whether the entry in the registry cannot be read.
     *
     * @return true until the next readable entry
     */
    public boolean isEntryInvalid() {
        return entryInvalid;
    }

    /**
     * Returns whether the replica is leaving.
     *
     * @return true if its entry or one of its answers said so
     */
    public boolean isLeaving() {
        return entry.draining() || notices().isLeaving();
    }

    /** Records that the process of this run has crashed, by what any router saw. */
    public void markCrashed() {
        crashed = true;
    }

    /**
     * Returns whether the process of this run is known to have crashed; its entry may still be listed.
     *
     * @return true if a router saw it
     */
    public boolean hasCrashed() {
        return crashed;
    }

    /**
     * Returns whether the replica stays in service.
     *
     * @return false for a replica that is leaving or whose entry cannot be read
     */
    public boolean isInService() {
        return !isLeaving() && !entryInvalid;
    }
}
