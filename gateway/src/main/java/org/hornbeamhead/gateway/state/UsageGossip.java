package org.hornbeamhead.gateway.state;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.hornbeamhead.core.entry.ActiveRouters;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;

/**
 * Tells other routers of the use of a shared limit. Routers with many callers hear of changes soon; all routers hear of
 * recent use regularly, since callers may come to any of them.
 */
public final class UsageGossip {
    /** The largest number of routers that receive a hint; more would increase the load as the fleet grows. */
    public static final int MAX_PEERS = 96;

    /** The interval of changes. What arrives in it may exceed a limit. */
    private static final long CHANGES_INTERVAL_MILLIS = 50;
    /**
     * With more routers with callers than this, changes are told less often, so that the load of each stays bounded.
     */
    private static final int MAX_FULL_RATE_ROUTERS = 16;

    private static final long SUMMARY_INTERVAL_MILLIS = 500;
    /** The interval of hints to routers that have callers, but few. */
    private static final long OTHERS_INTERVAL_MILLIS = 200;
    /** A router whose callers left says so several times, since each datagram may be lost. */
    private static final int IDLE_HINTS = 3;

    private final Clock clock;
    private final Timers timers;
    private final UsageReports reports;
    private final ActiveRouters activeRouters;
    private final Supplier<List<String>> listedRouters;
    private final PeerDatagrams datagrams;
    private long lastSummaryMillis;
    private long lastToOthersMillis;
    private long lastAnnouncementMillis;
    private int idleHintsLeft;

    /**
     * Creates an exchange that is not started yet.
     *
     * @param clock the clock
     * @param timers the timers
     * @param reports what to tell
     * @param activeRouters the routers with callers
     * @param listedRouters supplies the addresses at which other routers receive hints
     * @param datagrams the socket for hints
     */
    public UsageGossip(
            Clock clock,
            Timers timers,
            UsageReports reports,
            ActiveRouters activeRouters,
            Supplier<List<String>> listedRouters,
            PeerDatagrams datagrams) {
        this.clock = clock;
        this.timers = timers;
        this.reports = reports;
        this.activeRouters = activeRouters;
        this.listedRouters = listedRouters;
        this.datagrams = datagrams;
    }

    /** Starts to send hints. */
    public void start() {
        tick();
    }

    /** Tells all listed routers of changes now, unless they were told of others a moment ago. */
    public void announce() {
        long now = clock.monotonicMillis();
        if (now - lastAnnouncementMillis >= CHANGES_INTERVAL_MILLIS && reports.hasChanges(now)) {
            lastAnnouncementMillis = now;
            List<byte[]> changes = reports.takeChanges(now);
            listedRouters.get().forEach(p -> changes.forEach(c -> datagrams.send(p, c)));
        }
    }

    private void tick() {
        long now = clock.monotonicMillis();
        List<String> busy = activeRouters.busyPeers(now);
        if (reports.hasChanges(now)) {
            send(reports.takeChanges(now), busy);
        }
        if (now - lastSummaryMillis >= SUMMARY_INTERVAL_MILLIS) {
            lastSummaryMillis = now;
            lastToOthersMillis = now;
            sendSummary(activeRouters.activePeers(now), now);
        } else if (now - lastToOthersMillis >= OTHERS_INTERVAL_MILLIS) {
            lastToOthersMillis = now;
            sendToOthers(busy, now);
        }
        long factor = Math.max(1, busy.size() / MAX_FULL_RATE_ROUTERS);
        timers.schedule(CHANGES_INTERVAL_MILLIS * factor, this::tick);
    }

    /** Tells routers that have few callers, whose own decisions admit little. */
    private void sendToOthers(List<String> busy, long now) {
        List<String> others = activeRouters.activePeers(now).stream()
                .filter(p -> !busy.contains(p))
                .toList();
        if (!others.isEmpty() && activeRouters.ownRate(now) > 0) {
            send(reports.summary(false, now), others);
        }
    }

    private void sendSummary(List<String> active, long now) {
        boolean idle = activeRouters.ownRate(now) == 0;
        idleHintsLeft = idle ? Math.max(0, idleHintsLeft - 1) : IDLE_HINTS + 1;
        if (!idle || idleHintsLeft > 0) {
            // Routers with callers come first, since the number of receivers is bounded.
            Set<String> all = new LinkedHashSet<>(active);
            all.addAll(listedRouters.get());
            send(reports.summary(idle, now), List.copyOf(all));
        }
    }

    private void send(List<byte[]> hints, List<String> to) {
        to.stream().limit(MAX_PEERS).forEach(p -> hints.forEach(h -> datagrams.send(p, h)));
    }
}
