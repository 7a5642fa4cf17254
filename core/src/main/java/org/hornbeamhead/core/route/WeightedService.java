package org.hornbeamhead.core.route;

/**
 * A service of a route with its weight.
 *
 * @param service the service's name
 * @param weight its weight relative to the other services; above 0
 */
public record WeightedService(String service, int weight) {}
