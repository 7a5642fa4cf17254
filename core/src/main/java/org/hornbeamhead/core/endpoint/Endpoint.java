package org.hornbeamhead.core.endpoint;

/**
 * One line of the platform's list of hosts.
 *
 * @param kind what stands there
 * @param pool the pool's name; for entry hosts the fleet's
 * @param address the IP address and port, as {@code 10.0.0.1:8080}
 * @param peerAddress the address for other routers; empty unless an entry host
 * @param dataCentre the data centre
 * @param leaving whether the host was told to leave
 */
public record Endpoint(
        EndpointKind kind, String pool, String address, String peerAddress, String dataCentre, boolean leaving) {}
