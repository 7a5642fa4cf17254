package org.hornbeamhead.core.availability;

/** Why a router may not send a request to a replica now. */
public enum Unavailability {
    /** The replica's entry cannot be read. */
    INVALID_ENTRY,
    /** The replica's entry has the address of a router. */
    ROUTER_ADDRESS,
    /** This host has no path to the replica's service. */
    NO_PATH,
    /** The replica is leaving, by its entry or by one of its answers. */
    LEAVING,
    /** The replica asked this router for a pause that is not over. */
    BACK_OFF,
    /** The replica is brittle, and a further request might find no room. */
    BRITTLE,
    /** All routers together have reached the replica's request limit. */
    REQUEST_LIMIT
}
