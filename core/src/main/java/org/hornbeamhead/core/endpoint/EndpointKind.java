package org.hornbeamhead.core.endpoint;

/** The kind of endpoint at an address in the list of hosts. */
public enum EndpointKind {
    /** A router of this system. */
    ENTRY,
    /** A model engine. */
    ENGINE,
    /** A service that is not a model engine. */
    SERVICE
}
