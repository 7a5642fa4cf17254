package org.hornbeamhead.gateway.state;

import static org.testng.Assert.assertEquals;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the datagrams between routers. */
public class PeerDatagramsTest {
    private static final int TIMEOUT_MILLIS = 5_000;

    /** A datagram that a listener fails to process must not stop the router from receiving later ones. */
    @Test
    public void failingListenerDoesNotStopLaterDatagrams() throws IOException {
        Eventloop reactor = Eventloop.builder().withCurrentThread().build();
        PeerDatagrams datagrams = new PeerDatagrams(reactor);
        List<Byte> received = new ArrayList<>();
        datagrams.addListener((from, bytes) -> {
            received.add(bytes[0]);
            if (bytes[0] == 1) {
                throw new IllegalStateException("cannot be processed");
            }
            reactor.breakEventloop();
        });
        datagrams.addListener((from, bytes) -> received.add((byte) -bytes[0]));
        try (DatagramSocket sender = new DatagramSocket()) {
            datagrams.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            for (byte b : new byte[] {1, 2}) {
                sender.send(new DatagramPacket(new byte[] {b}, 1, datagrams.address()));
            }
        }
        reactor.delay(TIMEOUT_MILLIS, reactor::breakEventloop);
        reactor.run();
        assertEquals(received, List.of((byte) 1, (byte) -1, (byte) 2, (byte) -2));
    }
}
