package org.hornbeamhead.core.route;

/**
 * One of the services behind a route.
 *
 * @param service the service's name
 * @param weight its share against the weights of the others; above 0
 */
public record WeightedService(String service, int weight) {}
