package org.hornbeamhead.core.crash;

import java.util.ArrayList;
import java.util.Collections;
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
 * Spreads what one router knows of crashes to all others, by datagrams to a few of them at a time, who pass it on.
 *
 * <p>What is new goes out at once and in some rounds after it; later all of it goes round slowly, so that a router that
 * started anew or was cut off catches up. The work of a router does not grow with their number, and nothing rests on
 * the platform's store.
 *
 * <p>Owned by one thread.
 */
public final class CrashGossip {
    /** Rounds in which something new is told; lost datagrams and busy routers cost a round each. */
    private static final int TELLINGS = 5;

    private static final long ROUND_MILLIS = 100;
    /** The least time between two rounds, so that what comes close together goes out together. */
    private static final long GAP_MILLIS = 20;

    private static final long SLOW_ROUND_MILLIS = 2_000;
    /** Other routers with work that are told in one round: they are the ones whom the request may reach next. */
    private static final int NEAR = 4;
    /** Routers that are told in one round whether or not they have work. */
    private static final int ANY = 2;

    private final CrashHistory history;
    private final Clock clock;
    private final Timers timers;
    private final Random random;
    private final Audience audience;
    private final BiConsumer<String, byte[]> send;
    /** How often what is new was told, that which was told last at the end. */
    private final Map<RequestFingerprint, Integer> fresh = new LinkedHashMap<>();

    private int nextOld;
    private long round;
    private long toldAt = Long.MIN_VALUE / 2;

    /**
     * Whom a router may tell.
     *
     * @param working the addresses of the other routers with work, as far as they are known
     * @param all the addresses of all other routers
     */
    public record Audience(Supplier<List<String>> working, Supplier<List<String>> all) {}

    /**
     * Makes gossip that has told nothing. It tells as soon as the history changes.
     *
     * @param history what is known
     * @param clock the clock
     * @param timers the thread's timers
     * @param random chooses whom to tell
     * @param audience whom it may tell
     * @param send sends a datagram to an address
     */
    public CrashGossip(
            CrashHistory history,
            Clock clock,
            Timers timers,
            Random random,
            Audience audience,
            BiConsumer<String, byte[]> send) {
        this.history = history;
        this.clock = clock;
        this.timers = timers;
        this.random = random;
        this.audience = audience;
        this.send = send;
    }

    /**
     * More is known of a request than was told.
     *
     * @param request the request
     */
    public void changed(RequestFingerprint request) {
        fresh.put(request, 0);
        nextRound(Math.max(0, toldAt + GAP_MILLIS - clock.monotonicMillis()));
    }

    /**
     * Takes a datagram of another router.
     *
     * @param datagram the bytes; those that are no news are passed over
     */
    public void receive(byte[] datagram) {
        CrashNews.decode(datagram).ifPresent(reports -> reports.forEach(history::merge));
    }

    /** Only the round that was asked for last takes place. */
    private void nextRound(long delayMillis) {
        long number = ++round;
        timers.schedule(delayMillis, () -> {
            if (number == round) {
                tell();
            }
        });
    }

    private void tell() {
        toldAt = clock.monotonicMillis();
        if (fresh.isEmpty()) {
            history.sweep();
        }
        fresh.keySet().removeIf(r -> !history.knows(r));
        if (history.isEmpty()) {
            return;
        }
        byte[] datagram = CrashNews.encode(fresh.isEmpty() ? someOld() : someFresh());
        listeners().forEach(a -> send.accept(a, datagram));
        nextRound(fresh.isEmpty() ? SLOW_ROUND_MILLIS : ROUND_MILLIS);
    }

    private List<CrashReport> someFresh() {
        List<CrashReport> reports = CrashNews.fitting(
                fresh.keySet().stream()
                        .limit(CrashNews.MOST_REPORTS)
                        .flatMap(r -> history.report(r).stream())
                        .toList(),
                CrashNews.DATAGRAM_BYTES);
        reports.stream().map(CrashReport::request).forEach(this::told);
        return reports;
    }

    /** What was told often enough is no longer new. */
    private void told(RequestFingerprint request) {
        int tellings = fresh.remove(request) + 1;
        if (tellings < TELLINGS) {
            fresh.put(request, tellings);
        }
    }

    /** Each round goes on where the one before ended. */
    private List<CrashReport> someOld() {
        List<CrashReport> all = history.reports();
        int from = nextOld < all.size() ? nextOld : 0;
        List<CrashReport> reports = CrashNews.fitting(all.subList(from, all.size()), CrashNews.DATAGRAM_BYTES);
        nextOld = from + reports.size();
        return reports;
    }

    private List<String> listeners() {
        return Stream.concat(
                        some(audience.working().get(), NEAR),
                        some(audience.all().get(), ANY))
                .distinct()
                .toList();
    }

    private Stream<String> some(List<String> addresses, int count) {
        List<String> shuffled = new ArrayList<>(addresses);
        Collections.shuffle(shuffled, random);
        return shuffled.stream().limit(count);
    }
}
