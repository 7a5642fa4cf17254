package org.hornbeamhead.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamhead.platform.StandinLink;
import org.hornbeamhead.platform.StandinPorts;

/** The links over which routers reach one another: a datagram relay and a TCP proxy for each pair and direction. */
final class PeerLinks implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_DATAGRAM_BYTES = 65_535;
    private static final Pattern NODE = Pattern.compile("\"node\":\"([^\"]+)\"");

    private final Map<Direction, Link> links = new ConcurrentHashMap<>();
    private final Set<String> cutOff = ConcurrentHashMap.newKeySet();
    private final ExecutorService threads = Executors.newCachedThreadPool();

    private record Direction(String from, String to) {}

    private record Link(DatagramSocket datagrams, StandinLink connections) {}

    /** Opens the links between all routers. */
    void open(List<RouterHandle> routers) throws IOException {
        for (RouterHandle from : routers) {
            for (RouterHandle to : routers) {
                if (from != to) {
                    DatagramSocket socket =
                            new DatagramSocket(StandinPorts.drawFreePort(), InetAddress.getLoopbackAddress());
                    links.put(new Direction(from.name(), to.name()), new Link(socket, new StandinLink(to::peers)));
                }
            }
        }
        routers.forEach(to -> links.keySet().stream()
                .filter(d -> d.to().equals(to.name()))
                .forEach(d -> threads.execute(() -> relay(d, to.hints()))));
    }

    /** Replaces the addresses of another router in its entry by those of the links to it. */
    String rewrite(String reader, String value) {
        Matcher node = NODE.matcher(value);
        Link link = node.find() ? links.get(new Direction(reader, node.group(1))) : null;
        return link == null
                ? value
                : withPort(
                        withPort(value, "hints", link.datagrams().getLocalPort()),
                        "peer",
                        link.connections().port());
    }

    private static String withPort(String value, String name, int port) {
        return value.replaceAll(
                "\"" + name + "\":\"127\\.0\\.0\\.1:\\d+\"", "\"" + name + "\":\"127.0.0.1:" + port + "\"");
    }

    /** Relays from the address that the receiver knows the sender by, since routers match answers by address. */
    private void relay(Direction direction, int port) {
        DatagramSocket in = links.get(direction).datagrams();
        DatagramSocket out =
                links.get(new Direction(direction.to(), direction.from())).datagrams();
        byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
        while (!in.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                in.receive(packet);
                if (!isCut(direction)) {
                    packet.setAddress(InetAddress.getLoopbackAddress());
                    packet.setPort(port);
                    out.send(packet);
                }
            } catch (IOException e) {
                logger.atFine().withCause(e).log("a datagram was not relayed");
            }
        }
    }

    private boolean isCut(Direction direction) {
        return cutOff.contains(direction.from()) || cutOff.contains(direction.to());
    }

    /** Cuts a router off from all others, or restores its links. */
    synchronized void setCutOff(String router, boolean cut) {
        if (cut) {
            cutOff.add(router);
        } else {
            cutOff.remove(router);
        }
        links.forEach((direction, link) ->
                link.connections().setMode(isCut(direction) ? StandinLink.Mode.SILENT : StandinLink.Mode.HEALTHY));
    }

    @Override
    public void close() throws IOException {
        for (Link link : links.values()) {
            link.datagrams().close();
            link.connections().close();
        }
        threads.shutdownNow();
    }
}
