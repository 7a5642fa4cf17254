package org.hornbeamhead.core.membership;

/** Sends gossip datagrams without guaranteed delivery. */
@FunctionalInterface
public interface GossipTransport {
    /**
     * Sends a message.
     *
     * @param peerAddress the receiver's peer address
     * @param message the message
     */
    void send(String peerAddress, GossipMessage message);
}
