package org.hornbeamhead.core.membership;

/** Sends datagrams, which may be lost. */
@FunctionalInterface
public interface GossipTransport {
    /**
     * Sends a message.
     *
     * @param peerAddress where to
     * @param message the message
     */
    void send(String peerAddress, GossipMessage message);
}
