package org.hornbeamhead.core.membership;

/** Hears of what gossip brings. */
public interface GossipListener {
    /** The set of members that serve, or their status, has changed. */
    void membersChanged();

    /**
     * A peer has a newer configuration.
     *
     * @param peerAddress where to fetch it
     * @param version its version
     */
    void newerConfig(String peerAddress, long version);
}
