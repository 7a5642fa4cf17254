package org.hornbeamhead.router;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.udp.UdpPacket;
import io.activej.net.socket.udp.UdpSocket;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.util.function.Consumer;
import org.hornbeamhead.core.crash.CrashReportCodec;
import org.hornbeamhead.core.limit.LimitHint;
import org.hornbeamhead.core.membership.GossipMessage;
import org.hornbeamhead.core.settings.Addresses;
import org.hornbeamhead.peer.GossipCodec;

/** Sends and receives gossip and news of crashes as UDP datagrams. Owned by the reactor's thread. */
final class PeerNode {
    private final UdpSocket socket;
    private Consumer<GossipMessage> receiver = m -> {};
    private Consumer<byte[]> crashReceiver = b -> {};
    private Consumer<byte[]> limitReceiver = b -> {};

    /**
     * Opens the socket.
     *
     * @param reactor the thread's reactor
     * @param address where to listen
     * @throws IOException when the address cannot be bound
     */
    PeerNode(NioReactor reactor, InetSocketAddress address) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        channel.configureBlocking(false);
        channel.bind(address);
        this.socket = UdpSocket.connect(reactor, channel).getResult();
    }

    /** Starts to hand on what comes in. */
    void receive(Consumer<GossipMessage> into) {
        receiver = into;
        receiveNext();
    }

    /** Hands on news of crashes, which share the socket. */
    void receiveCrashes(Consumer<byte[]> into) {
        crashReceiver = into;
    }

    /** Hands on hints of request limits, which share the socket. */
    void receiveLimits(Consumer<byte[]> into) {
        limitReceiver = into;
    }

    private void receiveNext() {
        socket.receive().whenResult(packet -> {
            byte[] bytes = packet.getBuf().asArray();
            if (CrashReportCodec.hasFormatMarker(bytes)) {
                crashReceiver.accept(bytes);
            } else if (LimitHint.hasFormatMarker(bytes)) {
                limitReceiver.accept(bytes);
            } else {
                GossipCodec.decode(bytes).ifPresent(receiver);
            }
            receiveNext();
        });
    }

    void send(String peerAddress, GossipMessage message) {
        send(peerAddress, GossipCodec.encode(message));
    }

    /** Sends a datagram that may be lost. */
    void send(String peerAddress, byte[] datagram) {
        Addresses.parse(peerAddress).peek(to -> socket.send(UdpPacket.of(ByteBuf.wrapForReading(datagram), to)));
    }

    void close() {
        socket.close();
    }
}
