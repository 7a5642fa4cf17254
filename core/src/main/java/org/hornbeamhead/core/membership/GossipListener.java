package org.hornbeamhead.core.membership;

/** Receives notifications of changes learned through gossip. */
public interface GossipListener {
    /** Called when the set of members or the status of one of them has changed. */
    void membersChanged();

    /**
     * Called when a peer has a newer configuration.
     *
     * @param peerAddress the address to fetch it from
     * @param version the version at that peer
     */
    void newerConfig(String peerAddress, long version);
}
