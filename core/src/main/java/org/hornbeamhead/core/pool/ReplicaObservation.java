package org.hornbeamhead.core.pool;

import java.util.Optional;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.LoadReport;

/**
 * What a controller sees of a replica.
 *
 * @param endpoint its line in the list of hosts
 * @param report its load report; empty when it does not answer
 */
public record ReplicaObservation(Endpoint endpoint, Optional<LoadReport> report) {}
