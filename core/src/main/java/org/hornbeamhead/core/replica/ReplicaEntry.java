package org.hornbeamhead.core.replica;

import java.util.Map;

/**
 * A replica as the registry lists it.
 *
 * @param id names the replica; it may start again under the same id
 * @param startedAt when it started, in milliseconds since 1970 by its own clock; 0 when the registry does not tell
 * @param service the service's name
 * @param address the IP address and port
 * @param dataCentre where it stands
 * @param draining whether it announced that it leaves
 * @param slots the requests that it runs at once
 * @param weights the version of the weights of each model that it serves
 */
public record ReplicaEntry(
        String id,
        long startedAt,
        String service,
        String address,
        String dataCentre,
        boolean draining,
        int slots,
        Map<String, Long> weights) {
    /** Copies the weights, so that the entry cannot change. */
    public ReplicaEntry {
        weights = Map.copyOf(weights);
    }

    /**
     * Names one run of the replica. What is believed of a replica (cached parts, load, failures, weights, accepted
     * orders) holds for one run, since another run under the same id begins with nothing.
     *
     * @return the id with the time of its start
     */
    public String run() {
        return id + '@' + startedAt;
    }
}
