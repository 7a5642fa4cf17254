package org.hornbeamhead.core.membership;

import java.util.List;

/**
 * A datagram between routers.
 *
 * @param kind what is asked or answered
 * @param sequence matches an answer with its question
 * @param sender the sender, as it sees itself
 * @param target for {@link Kind#PROBE_FOR_ME}: the peer address to be probed; else empty
 * @param configVersion the version of the configuration in force at the sender
 * @param updates news of members, at most {@link GossipNode#UPDATES_PER_MESSAGE}
 */
public record GossipMessage(
        Kind kind, long sequence, Member sender, String target, long configVersion, List<Member> updates) {
    /** The kinds of message. */
    public enum Kind {
        /** Asks for an {@link #ACK}. */
        PROBE,
        /** Answers a probe. */
        ACK,
        /** Asks the receiver to probe the target and to pass its answer on. */
        PROBE_FOR_ME,
        /** Tells news, and asks for nothing. */
        NEWS
    }

    /** Copies the updates, so that the message cannot change. */
    public GossipMessage {
        updates = List.copyOf(updates);
    }
}
