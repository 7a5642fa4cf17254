package org.hornbeamhead.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.hornbeamhead.core.membership.GossipMessage;
import org.hornbeamhead.core.membership.Member;
import org.hornbeamhead.core.membership.MemberStatus;
import org.hornbeamhead.peer.generated.GossipDatagram;
import org.hornbeamhead.peer.generated.MemberEntry;

/** Writes and reads the datagrams of the routers' membership. */
public final class GossipCodec {
    private GossipCodec() {}

    /**
     * Writes a message.
     *
     * @param message the message
     * @return the datagram's bytes
     */
    public static byte[] encode(GossipMessage message) {
        GossipDatagram.Builder datagram = GossipDatagram.newBuilder()
                .setKind(GossipDatagram.Kind.valueOf("KIND_" + message.kind().name()))
                .setSequence(message.sequence())
                .setSender(entry(message.sender()))
                .setTarget(message.target())
                .setConfigVersion(message.configVersion());
        message.updates().forEach(m -> datagram.addUpdates(entry(m)));
        return datagram.build().toByteArray();
    }

    private static MemberEntry entry(Member member) {
        return MemberEntry.newBuilder()
                .setPeerAddress(member.peerAddress())
                .setAddress(member.address())
                .setIncarnation(member.incarnation())
                .setStatus(
                        MemberEntry.Status.valueOf("STATUS_" + member.status().name()))
                .build();
    }

    /**
     * Reads a datagram.
     *
     * @param bytes the bytes
     * @return the message, empty when the bytes are none
     */
    public static Optional<GossipMessage> decode(byte[] bytes) {
        try {
            GossipDatagram d = GossipDatagram.parseFrom(bytes);
            boolean known = d.getKindValue() > 0 && d.getKind() != GossipDatagram.Kind.UNRECOGNIZED;
            boolean readable = known
                    && isReadable(d.getSender())
                    && d.getUpdatesList().stream().allMatch(GossipCodec::isReadable);
            return readable ? Optional.of(message(d)) : Optional.empty();
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }

    private static boolean isReadable(MemberEntry entry) {
        return entry.getStatusValue() > 0 && entry.getStatus() != MemberEntry.Status.UNRECOGNIZED;
    }

    private static GossipMessage message(GossipDatagram d) {
        return new GossipMessage(
                GossipMessage.Kind.valueOf(d.getKind().name().substring("KIND_".length())),
                d.getSequence(),
                member(d.getSender()),
                d.getTarget(),
                d.getConfigVersion(),
                d.getUpdatesList().stream().map(GossipCodec::member).toList());
    }

    private static Member member(MemberEntry entry) {
        return new Member(
                entry.getPeerAddress(),
                entry.getAddress(),
                entry.getIncarnation(),
                MemberStatus.valueOf(entry.getStatus().name().substring("STATUS_".length())));
    }
}
