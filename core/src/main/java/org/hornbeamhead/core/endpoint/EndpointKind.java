package org.hornbeamhead.core.endpoint;

/** What stands at an address of the host list. */
public enum EndpointKind {
    /** A router of this system. */
    ENTRY,
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE
}
