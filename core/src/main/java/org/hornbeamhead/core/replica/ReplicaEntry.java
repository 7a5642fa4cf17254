package org.hornbeamhead.core.replica;

import java.util.Map;

/**
 * A replica as the registry lists it.
 *
 * @param id names one run of the replica; a restart has another
 * @param service the service's name
 * @param address the IP address and port
 * @param dataCentre where it stands
 * @param draining whether it announced that it leaves
 * @param slots the requests that it runs at once
 * @param weights the version of the weights of each model that it serves
 */
public record ReplicaEntry(
        String id,
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
}
