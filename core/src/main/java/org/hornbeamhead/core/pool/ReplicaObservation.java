package org.hornbeamhead.core.pool;

import java.util.Optional;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.LoadReport;

/**
 * A replica's state as observed by a controller.
 *
 * @param endpoint its entry in the host list
 * @param report its load report; empty when it does not answer
 */
public record ReplicaObservation(Endpoint endpoint, Optional<LoadReport> report) {}
