package org.hornbeamhead.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.LongToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Routers before one replica, in virtual time. Requests arrive at random routers; each answer states the replica's
 * limit at that time. Routers tell one another as they do in the gateway: changes soon, all they know every half a
 * second.
 */
final class LimiterFleet {
    private static final int REPLICA = 7;
    private static final long CHANGES_MILLIS = 50;
    private static final long SUMMARY_MILLIS = 500;
    private static final long TRANSIT_MILLIS = 2;
    private static final long ANSWER_MILLIS = 60;

    private final Random random;
    private final LongToDoubleFunction limit;
    private final List<Router> routers = new ArrayList<>();
    private final List<Long> sends = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private BiPredicate<Integer, Integer> loses = (from, to) -> false;
    private long now;
    private long eventCount;

    private record Event(long atMillis, long order, Runnable action) {}

    private final class Router {
        private final int index;
        private long life;
        private int sequence;
        private RequestLimiter limiter;

        Router(int index) {
            this.index = index;
            restart();
        }

        void restart() {
            life = random.nextLong();
            sequence = 0;
            limiter = new RequestLimiter();
        }

        void tell() {
            LimitHint hint = new LimitHint(life, ++sequence, List.of(limiter.takeEntry(REPLICA, now)));
            routers.stream()
                    .filter(to -> to != this && !loses.test(index, to.index))
                    .forEach(to -> schedule(TRANSIT_MILLIS, () -> to.receive(hint)));
        }

        private void receive(LimitHint hint) {
            LimitHint read = LimitHint.decode(hint.encode()).orElseThrow();
            limiter.merge(read.life(), read.sequence(), read.entries().get(0), now);
        }

        void request() {
            if (!limiter.accepts(1, now)) {
                return;
            }
            limiter.recordSend(now);
            sends.add(now);
            long sentAt = now;
            RequestLimiter asked = limiter;
            schedule(ANSWER_MILLIS, () -> answered(asked, new StatedLimit(limit.applyAsDouble(now), sentAt, now)));
        }

        private void answered(RequestLimiter asked, StatedLimit statement) {
            if (asked.observe(statement)) {
                tell();
            }
        }
    }

    /** Creates routers before a replica whose limit is a function of the time; infinite for none. */
    LimiterFleet(int size, long seed, LongToDoubleFunction limit) {
        this.random = new Random(seed);
        this.limit = limit;
        IntStream.range(0, size).forEach(i -> routers.add(new Router(i)));
    }

    /** Loses a part of all hints. */
    void loseHints(double share) {
        loses = (from, to) -> random.nextDouble() < share;
    }

    /** Restarts all routers, which forget everything. */
    void restartAll() {
        routers.forEach(Router::restart);
    }

    void restart(int router) {
        routers.get(router).restart();
    }

    private void schedule(long delayMillis, Runnable action) {
        events.add(new Event(now + delayMillis, eventCount++, action));
    }

    /** Lets requests arrive at random routers until a time. */
    void run(long untilMillis, double requestsPerSecond) {
        while (now < untilMillis) {
            now++;
            while (!events.isEmpty() && events.peek().atMillis() <= now) {
                events.poll().action().run();
            }
            routers.stream().filter(this::isDue).forEach(Router::tell);
            if (random.nextDouble() < requestsPerSecond / 1_000) {
                routers.get(random.nextInt(routers.size())).request();
            }
        }
    }

    private boolean isDue(Router router) {
        boolean summaryDue =
                now % SUMMARY_MILLIS == (router.index * 7L) % SUMMARY_MILLIS && router.limiter.isRelevant(now);
        boolean changesDue = now % CHANGES_MILLIS == router.index % CHANGES_MILLIS && router.limiter.hasUntold();
        return summaryDue || changesDue;
    }

    /** Returns the largest number of sends in any window of a length that ends after a time. */
    long worstWindow(long windowMillis, long fromMillis) {
        return sends.stream()
                .filter(end -> end >= fromMillis)
                .mapToLong(end -> sends.stream()
                        .filter(at -> at > end - windowMillis && at <= end)
                        .count())
                .max()
                .orElse(0);
    }

    /** Returns the number of sends in a time. */
    long sends(long fromMillis, long toMillis) {
        return sends.stream().filter(at -> at >= fromMillis && at < toMillis).count();
    }
}
