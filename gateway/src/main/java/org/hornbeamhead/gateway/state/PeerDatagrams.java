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

/** The socket at which routers tell one another what may be lost. Each kind of datagram has a first byte of its own. */
public final class PeerDatagrams {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** After a failed receive; one line of the log a second at most. */
    private static final long RECEIVE_RETRY_MILLIS = 1_000;

    private final NioReactor reactor;
    private final List<BiConsumer<String, byte[]>> listeners = new ArrayList<>();
    private UdpSocket socket;
    private SocketAddress boundAddress;

    /**
     * Makes a socket that is not open yet.
     *
     * @param reactor the thread's reactor
     */
    public PeerDatagrams(NioReactor reactor) {
        this.reactor = reactor;
    }

    /**
     * Hands on what comes.
     *
     * @param listener takes the sender's address and the bytes of each datagram, and passes over what is not its own
     */
    public void addListener(BiConsumer<String, byte[]> listener) {
        listeners.add(listener);
    }

    /**
     * Opens the socket.
     *
     * @param address where to listen
     * @throws IOException when the address cannot be bound
     */
    public void start(InetSocketAddress address) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        channel.configureBlocking(false);
        channel.bind(address);
        boundAddress = channel.getLocalAddress();
        socket = UdpSocket.connect(reactor, channel).getResult();
        receive();
    }

    /** Where it listens. */
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
                logger.atWarning().withCause(e).log("a datagram could not be received");
                reactor.delayBackground(RECEIVE_RETRY_MILLIS, this::receive);
                return;
            }
            String from = Addresses.format(packet.getSocketAddress());
            byte[] bytes = packet.getBuf().asArray();
            listeners.forEach(l -> dispatch(l, from, bytes));
            receive();
        });
    }

    /** A listener that fails must not keep the router from hearing the next datagram. */
    private static void dispatch(BiConsumer<String, byte[]> listener, String from, byte[] bytes) {
        Try.run(() -> listener.accept(from, bytes))
                .onFailure(e -> logger.atSevere().withCause(e).log(
                        "a datagram of %s cannot be taken over and is passed over", from));
    }
}
