package org.hornbeamhead.core.route;

import java.util.Optional;

/**
 * The configuration of a service.
 *
 * @param name the service's name
 * @param healthPath the path of its health check
 * @param maxConnections the maximum number of connections to one replica from all routers together
 * @param engine the capacity of its engines; empty for a plain service
 */
public record ServiceSpec(String name, String healthPath, int maxConnections, Optional<EngineSpec> engine) {}
