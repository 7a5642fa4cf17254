package org.hornbeamhead.core.endpoint;

/**
 * An entry of the platform's list of hosts.
 *
 * @param kind the kind of endpoint
 * @param pool the name of the pool, or of the fleet for entry hosts
 * @param address the IP address and port, such as {@code 10.0.0.1:8080}
 * @param peerAddress the address for other routers; empty except for entry hosts
 * @param dataCentre the data centre
 * @param leaving whether the host was told to leave
 */
public record Endpoint(
        EndpointKind kind, String pool, String address, String peerAddress, String dataCentre, boolean leaving) {}
