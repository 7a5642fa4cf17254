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

/** What routers tell one another by datagrams. */
public class PeerDatagramsTest {
    private static final int LIMIT_MILLIS = 5_000;

    /** Guards against one datagram after which a router hears none any more. */
    @Test
    public void failingListenerDoesNotStopLaterDatagrams() throws IOException {
        Eventloop reactor = Eventloop.builder().withCurrentThread().build();
        PeerDatagrams datagrams = new PeerDatagrams(reactor);
        List<Byte> heard = new ArrayList<>();
        datagrams.addListener((from, bytes) -> {
            heard.add(bytes[0]);
            if (bytes[0] == 1) {
                throw new IllegalStateException("not taken over");
            }
            reactor.breakEventloop();
        });
        datagrams.addListener((from, bytes) -> heard.add((byte) -bytes[0]));
        try (DatagramSocket sender = new DatagramSocket()) {
            datagrams.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            for (byte b : new byte[] {1, 2}) {
                sender.send(new DatagramPacket(new byte[] {b}, 1, datagrams.address()));
            }
        }
        reactor.delay(LIMIT_MILLIS, reactor::breakEventloop);
        reactor.run();
        assertEquals(heard, List.of((byte) 1, (byte) -1, (byte) 2, (byte) -2));
    }
}
