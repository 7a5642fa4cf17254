package org.hornbeamhead.core.membership;

import java.util.List;

/**
 * A gossip datagram between routers.
 *
 * @param kind the message kind
 * @param sequence correlates an acknowledgement with its probe
 * @param sender the sender's own member record
 * @param target for {@link Kind#PROBE_FOR_ME}: the peer address to be probed; else empty
 * @param configVersion the version of the configuration in force at the sender
 * @param updates member updates, at most {@link GossipNode#UPDATES_PER_MESSAGE}
 */
public record GossipMessage(
        Kind kind, long sequence, Member sender, String target, long configVersion, List<Member> updates) {
    /** The kinds of message. */
    public enum Kind {
        /** Asks for an {@link #ACK}. */
        PROBE,
        /** Acknowledges a probe. */
        ACK,
        /** Asks the receiver to probe the target and to forward its acknowledgement. */
        PROBE_FOR_ME,
        /** Carries updates and requires no answer. */
        NEWS
    }

    /** Makes an immutable copy of the updates. */
    public GossipMessage {
        updates = List.copyOf(updates);
    }
}
