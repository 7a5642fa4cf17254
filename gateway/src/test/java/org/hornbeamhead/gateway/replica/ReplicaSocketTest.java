package org.hornbeamhead.gateway.replica;

import static org.testng.Assert.assertEquals;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardSocketOptions;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.Test;

/** Tests what the system may do by itself with connections to replicas. */
public class ReplicaSocketTest {
    /** Guards against connections that the system ends early: without keep-alive probes only our timers end them. */
    @Test
    public void systemSendsNoKeepAliveProbes() throws IOException {
        Eventloop reactor = Eventloop.builder().withCurrentThread().build();
        AtomicReference<Boolean> keepAlive = new AtomicReference<>();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            reactor.execute(
                    () -> TcpSocket.connect(reactor, address, Duration.ofSeconds(5), ReplicaConnection.SOCKET_SETTINGS)
                            .whenResult(socket -> {
                                keepAlive.set(socket.getSocketChannel().getOption(StandardSocketOptions.SO_KEEPALIVE));
                                socket.close();
                            }));
            reactor.run();
        }
        assertEquals(keepAlive.get(), Boolean.FALSE);
    }
}
