package org.hornbeamhead.gateway.availability;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.availability.Unavailability;
import org.hornbeamhead.gateway.limit.ReplicaLimits;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** Decides whether this router may send a request to a replica now. */
public final class ReplicaAvailability {
    private final ReplicaLimits limits;

    /**
     * Creates the decision.
     *
     * @param limits the request limits of replicas
     */
    public ReplicaAvailability(ReplicaLimits limits) {
        this.limits = limits;
    }

    /**
     * Returns why a replica may not get a request now.
     *
     * @param replica the replica
     * @return the reason, empty if it may get one
     */
    public Optional<Unavailability> check(LiveReplica replica) {
        if (replica.isEntryInvalid()) {
            return Optional.of(Unavailability.INVALID_ENTRY);
        }
        if (replica.isLeaving()) {
            return Optional.of(Unavailability.LEAVING);
        }
        return limits.accepts(replica) ? Optional.empty() : Optional.of(Unavailability.REQUEST_LIMIT);
    }

    /**
     * Returns whether a replica may get a request now.
     *
     * @param replica the replica
     * @return true if nothing is against it
     */
    public boolean accepts(LiveReplica replica) {
        return check(replica).isEmpty();
    }

    /**
     * Books the return of a caller whose request no replica of a service takes now.
     *
     * @param replicas the replicas of the service
     * @param request the id of the request, for the log
     * @return the time until the caller may return, in milliseconds; empty if it is not known
     */
    public OptionalLong bookReturnMillis(List<LiveReplica> replicas, String request) {
        return limits.bookReturnMillis(
                replicas.stream().filter(LiveReplica::isInService).toList(), request);
    }
}
