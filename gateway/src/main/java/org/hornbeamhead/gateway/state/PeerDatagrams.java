package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.udp.UdpPacket;
import io.activej.net.socket.udp.UdpSocket;
import io.activej.reactor.nio.NioReactor;
import io.vavr.control.Try;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.DatagramChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.hornbeamhead.core.settings.Addresses;

/**
 * The socket for datagrams between routers, which may be lost. Each kind of datagram is identified by its first byte.
 */
public final class PeerDatagrams {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Delay after a failed receive, which limits the log to one line a second. */
    private static final long RECEIVE_RETRY_MILLIS = 1_000;

    private final NioReactor reactor;
    private final List<BiConsumer<String, byte[]>> listeners = new ArrayList<>();
    private UdpSocket socket;
    private SocketAddress boundAddress;

    /**
     * Creates a socket that is not open yet.
     *
     * @param reactor the reactor of this thread
     */
    public PeerDatagrams(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Adds a listener for received datagrams.
     *
     * @param listener receives the address of the sender and the bytes of each datagram, and must ignore datagrams of
     *     other kinds
     */
    public void addListener(BiConsumer<String, byte[]> listener) {
        listeners.add(listener);
    }

    /**
     * Opens the socket.
     *
     * @param address the address to listen on
     * @throws IOException if the address cannot be bound
     */
    public void start(InetSocketAddress address) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        channel.configureBlocking(false);
        channel.bind(address);
        boundAddress = channel.getLocalAddress();
        socket = UdpSocket.connect(reactor, channel).getResult();
        receive();
    }

    /** Returns the address that the socket is bound to. */
    SocketAddress address() {
        return boundAddress;
    }

    /**
     * Sends a datagram, which may be lost.
     *
     * @param to the address of another router
     * @param datagram the bytes
     */
    public void send(String to, byte[] datagram) {
        Addresses.parse(to).forEach(address -> socket.send(UdpPacket.of(ByteBuf.wrapForReading(datagram), address)));
    }

    private void receive() {
        socket.receive().subscribe((packet, e) -> {
            if (e != null) {
                logger.atWarning().withCause(e).log("receiving a datagram failed");
                reactor.delayBackground(RECEIVE_RETRY_MILLIS, this::receive);
                return;
            }
            String from = Addresses.format(packet.getSocketAddress());
            byte[] bytes = packet.getBuf().asArray();
            listeners.forEach(l -> dispatch(l, from, bytes));
            receive();
        });
    }

    /**
     * Passes a datagram to a listener. A failure of the listener must not prevent the router from receiving later
     * datagrams.
     */
    private static void dispatch(BiConsumer<String, byte[]> listener, String from, byte[] bytes) {
        Try.run(() -> listener.accept(from, bytes))
                .onFailure(e -> logger.atSevere().withCause(e).log(
                        "ignoring a datagram from %s that could not be processed", from));
    }
}
