package org.hornbeamhead.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamhead.platform.StandinLink;

/** One router's links to all replicas, through which alone it reaches them. */
final class ReplicaLinks implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Pattern ADDRESS = Pattern.compile("(\"service\":.*\"address\":\"127\\.0\\.0\\.1:)(\\d+)");

    private final Map<Integer, StandinLink> byPort = new ConcurrentHashMap<>();
    private final Set<Integer> endedPorts = ConcurrentHashMap.newKeySet();
    private volatile StandinLink.Mode mode = StandinLink.Mode.HEALTHY;

    /** Replaces the address of a replica in its entry by that of a link to it; other documents stay as they are. */
    String rewrite(String value) {
        Matcher entry = ADDRESS.matcher(value);
        return entry.find()
                ? entry.replaceFirst(m -> Matcher.quoteReplacement(
                        m.group(1) + linkTo(Integer.parseInt(m.group(2))).port()))
                : value;
    }

    private StandinLink linkTo(int port) {
        return byPort.computeIfAbsent(port, p -> {
            try {
                StandinLink link = new StandinLink(() -> p);
                link.setMode(mode);
                return link;
            } catch (IOException e) {
                throw new UncheckedIOException("no link to port " + p, e);
            }
        });
    }

    /** Cuts or restores all links, those to replicas that are listed later among them. */
    void setMode(StandinLink.Mode next) {
        mode = next;
        byPort.forEach((port, link) -> {
            if (!endedPorts.contains(port)) {
                link.setMode(next);
            }
        });
    }

    /** Refuses connections to a replica whose process has ended, as its host does. */
    void replicaEnded(int port) {
        endedPorts.add(port);
        close(linkTo(port));
    }

    @Override
    public void close() {
        byPort.values().forEach(ReplicaLinks::close);
    }

    private static void close(StandinLink link) {
        try {
            link.close();
        } catch (IOException e) {
            logger.atWarning().withCause(e).log("a link could not be closed");
        }
    }
}
