package org.hornbeamhead.core.replica;

import java.util.Map;
import org.hornbeamhead.core.resume.SoftwareVersion;

/**
 * A replica's entry in the registry.
 *
 * @param id identifies the replica; a restarted replica may keep its id
 * @param startedAt the start time in milliseconds since the epoch of 1970 by its own clock; 0 if the registry has none
 * @param service the service's name
 * @param address the IP address and port
 * @param dataCentre the data centre
 * @param softwareVersion the name of the version of its software; empty if it states none
 * @param draining whether it has announced its shutdown
 * @param slots the number of requests that it runs concurrently
 * @param weights the weight version of each model that it serves
 */
public record ReplicaEntry(
        String id,
        long startedAt,
        String service,
        String address,
        String dataCentre,
        String softwareVersion,
        boolean draining,
        int slots,
        Map<String, Long> weights) {
    /** Makes an immutable copy of the weights. */
    public ReplicaEntry {
        weights = Map.copyOf(weights);
    }

    /**
     * Returns the identifier of one run of the replica. State tracked for a replica (cached parts, load, failures,
     * weights, accepted orders) applies to one run, since another run under the same id starts empty.
     *
     * @return the id and the start time
     */
    public String run() {
        return id + '@' + startedAt;
    }

    /**
     * Returns the version of the replica's software.
     *
     * @return the version, which is equal to no other if the replica states none
     */
    public SoftwareVersion software() {
        return softwareVersion.isEmpty() ? SoftwareVersion.unnamed(run()) : SoftwareVersion.named(softwareVersion);
    }
}
