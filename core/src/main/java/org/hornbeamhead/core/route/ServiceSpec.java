package org.hornbeamhead.core.route;

import java.util.Optional;

/**
 * A service as operators configure it.
 *
 * @param name the service's name
 * @param healthPath the path of its health check
 * @param maxConnections the connections that one replica takes from all routers together
 * @param engine the figures of its engines; empty for a plain service
 */
public record ServiceSpec(String name, String healthPath, int maxConnections, Optional<EngineSpec> engine) {}
