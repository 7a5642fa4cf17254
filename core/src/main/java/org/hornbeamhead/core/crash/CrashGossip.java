package org.hornbeamhead.core.crash;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;

/**
 * Distributes crash reports among routers by gossip: each router sends datagrams to a few peers, which pass them on.
 *
 * <p>A changed report is sent at once and in a few rounds after that. When there are no changes, all reports are sent
 * in turn at a lower rate, so that routers that restarted or were partitioned catch up. The load of a router does not
 * grow with the number of routers, and the exchange does not depend on the platform's store.
 *
 * <p>Not thread-safe: all calls must come from one thread.
 */
public final class CrashGossip {
    /**
     * Rounds in which a changed report is sent; allows for lost datagrams and busy routers, which cost a round each.
     */
    private static final int SENDS_PER_CHANGE = 5;

    private static final long ROUND_INTERVAL_MILLIS = 100;
    /** Minimum time between rounds, so that changes in quick succession share a datagram. */
    private static final long MIN_ROUND_INTERVAL_MILLIS = 20;

    private static final long ANTI_ENTROPY_INTERVAL_MILLIS = 2_000;
    /** Active peers chosen per round; the request is likely to reach one of them next. */
    private static final int ACTIVE_PEERS_PER_ROUND = 4;
    /** Peers chosen per round from all routers, active or not. */
    private static final int RANDOM_PEERS_PER_ROUND = 2;

    private final CrashHistory history;
    private final Clock clock;
    private final Timers timers;
    private final Random random;
    private final Peers peers;
    private final BiConsumer<String, byte[]> send;
    /** How often each changed report was sent; the most recently sent report is last. */
    private final Map<CrashFeature, Integer> sendCounts = new LinkedHashMap<>();

    private int nextReport;
    private long round;
    private long lastRoundMillis = Long.MIN_VALUE / 2;

    /**
     * The routers that datagrams can be sent to.
     *
     * @param active the addresses of the other routers known to be active
     * @param all the addresses of all other routers
     */
    public record Peers(Supplier<List<String>> active, Supplier<List<String>> all) {}

    /**
     * Creates a gossip node. It starts sending when the history first changes.
     *
     * @param history the crash history
     * @param clock the clock
     * @param timers timers that run on the owning thread
     * @param random selects the peers
     * @param peers the peers to select from
     * @param send sends a datagram to an address
     */
    public CrashGossip(
            CrashHistory history,
            Clock clock,
            Timers timers,
            Random random,
            Peers peers,
            BiConsumer<String, byte[]> send) {
        this.history = history;
        this.clock = clock;
        this.timers = timers;
        this.random = random;
        this.peers = peers;
        this.send = send;
    }

    /**
     * Schedules the report of a feature for sending after the history has changed.
     *
     * @param feature the feature
     */
    public void reportChanged(CrashFeature feature) {
        sendCounts.put(feature, 0);
        scheduleRound(Math.max(0, lastRoundMillis + MIN_ROUND_INTERVAL_MILLIS - clock.monotonicMillis()));
    }

    /**
     * Merges the reports of a datagram from another router into the history.
     *
     * @param datagram the bytes; malformed datagrams are ignored
     */
    public void receive(byte[] datagram) {
        CrashReportCodec.decode(datagram).ifPresent(reports -> reports.forEach(history::merge));
    }

    /** Schedules the next round and cancels the one scheduled before. */
    private void scheduleRound(long delayMillis) {
        long scheduled = ++round;
        timers.schedule(delayMillis, () -> {
            if (scheduled == round) {
                runRound();
            }
        });
    }

    private void runRound() {
        lastRoundMillis = clock.monotonicMillis();
        if (sendCounts.isEmpty()) {
            history.removeExpired();
        }
        sendCounts.keySet().removeIf(f -> !history.contains(f));
        if (history.isEmpty()) {
            return;
        }
        List<byte[]> datagrams = encode(sendCounts.isEmpty() ? nextReports() : changedReports());
        selectPeers().forEach(address -> datagrams.forEach(d -> send.accept(address, d)));
        scheduleRound(sendCounts.isEmpty() ? ANTI_ENTROPY_INTERVAL_MILLIS : ROUND_INTERVAL_MILLIS);
    }

    private static List<byte[]> encode(List<CrashReport> reports) {
        return Arrays.stream(CrashFeature.Kind.values())
                .map(kind ->
                        reports.stream().filter(r -> r.feature().kind() == kind).toList())
                .filter(ofKind -> !ofKind.isEmpty())
                .map(CrashReportCodec::encode)
                .toList();
    }

    /** Selects changed reports, first those of features with many crashes: one of them is the likely cause. */
    private List<CrashReport> changedReports() {
        List<CrashReport> reports = CrashReportCodec.limitToSize(
                sendCounts.keySet().stream()
                        .sorted(Comparator.comparingInt(history::crashCount).reversed())
                        .limit(CrashReportCodec.MAX_REPORTS_PER_DATAGRAM)
                        .flatMap(f -> history.report(f).stream())
                        .toList(),
                CrashReportCodec.MAX_DATAGRAM_BYTES);
        reports.stream().map(CrashReport::feature).forEach(this::countSend);
        return reports;
    }

    /** Counts a send; a report that was sent often enough is no longer a change. */
    private void countSend(CrashFeature feature) {
        int count = sendCounts.remove(feature) + 1;
        if (count < SENDS_PER_CHANGE) {
            sendCounts.put(feature, count);
        }
    }

    /** Returns the reports that follow those of the previous round, starting over at the end. */
    private List<CrashReport> nextReports() {
        List<CrashReport> all = history.reports();
        int from = nextReport < all.size() ? nextReport : 0;
        List<CrashReport> reports =
                CrashReportCodec.limitToSize(all.subList(from, all.size()), CrashReportCodec.MAX_DATAGRAM_BYTES);
        nextReport = from + reports.size();
        return reports;
    }

    private List<String> selectPeers() {
        return Stream.concat(
                        sample(peers.active().get(), ACTIVE_PEERS_PER_ROUND),
                        sample(peers.all().get(), RANDOM_PEERS_PER_ROUND))
                .distinct()
                .toList();
    }

    private Stream<String> sample(List<String> addresses, int count) {
        List<String> shuffled = new ArrayList<>(addresses);
        Collections.shuffle(shuffled, random);
        return shuffled.stream().limit(count);
    }
}
