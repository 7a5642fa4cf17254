package org.hornbeamhead.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A fleet of ledgers in virtual time that tell one another of their use as routers do: changes every 120 ms and a
 * summary every half a second, 2 ms under way.
 */
final class QuotaFleet {
    private static final long CHANGES_MILLIS = 120;
    private static final long SUMMARY_MILLIS = 500;
    private static final long TRANSIT_MILLIS = 2;

    private final Random random;
    private final List<Router> routers;
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    /** Whether a message from the first router reaches the second. */
    private BiPredicate<Integer, Integer> reaches = (from, to) -> true;

    private boolean storeReachable = true;
    private long now;

    private final class Router {
        private final int index;
        private QuotaContacts contacts;
        private QuotaLedger ledger;
        private boolean running = true;

        Router(int index) {
            this.index = index;
            restart();
        }

        private void restart() {
            contacts = new QuotaContacts(now, 96);
            ledger = new QuotaLedger(random.nextLong(), contacts, this::fleet);
            running = true;
        }

        private QuotaContacts.Fleet fleet() {
            Set<String> listed = routers.stream()
                    .filter(r -> r.index != index)
                    .map(Router::name)
                    .collect(Collectors.toSet());
            return new QuotaContacts.Fleet(listed, listed.size() + 1, storeReachable ? 0 : 60_000, Set.of());
        }

        String name() {
            return "r" + index;
        }
    }

    private record Delivery(long atMillis, int to, String from, QuotaHint hint) {}

    /** One request that a router admitted. */
    record Admitted(long atMillis, long cost) {}

    /** What became of the requests of one run. */
    record Result(List<Admitted> admitted, long asked, long exactUnits) {
        long units() {
            return admitted.stream().mapToLong(Admitted::cost).sum();
        }

        /** Returns the largest number of units that were admitted in any window of a length. */
        long worstWindow(long millis) {
            long worst = 0;
            long sum = 0;
            int first = 0;
            for (Admitted a : admitted) {
                sum += a.cost();
                while (admitted.get(first).atMillis() <= a.atMillis() - millis) {
                    sum -= admitted.get(first++).cost();
                }
                worst = Math.max(worst, sum);
            }
            return worst;
        }

        /** Returns the admitted units as a part of what one exact bucket admits. */
        double servedShare() {
            return (double) units() / exactUnits;
        }
    }

    QuotaFleet(int size, long seed) {
        random = new Random(seed);
        routers = new ArrayList<>();
        IntStream.range(0, size).forEach(i -> routers.add(new Router(i)));
        run(2_000);
    }

    void setReaches(BiPredicate<Integer, Integer> predicate) {
        reaches = predicate;
    }

    void setStoreReachable(boolean reachable) {
        storeReachable = reachable;
    }

    /** Ends routers; callers come to the others. */
    void stop(int from, int to) {
        routers.subList(from, to).forEach(r -> r.running = false);
    }

    void start(int from, int to) {
        routers.subList(from, to).forEach(Router::restart);
    }

    /** Lets time pass without requests. */
    void run(long millis) {
        long end = now + millis;
        while (now < end) {
            step();
        }
    }

    private void step() {
        now++;
        while (!deliveries.isEmpty() && deliveries.peek().atMillis() <= now) {
            Delivery d = deliveries.poll();
            Router to = routers.get(d.to());
            if (to.running) {
                to.ledger.merge(d.from(), d.hint(), now);
            }
        }
        routers.stream().filter(r -> r.running).forEach(this::tell);
    }

    private void tell(Router r) {
        boolean hasChanges = r.ledger.hasChanges(now);
        if (now % CHANGES_MILLIS == r.index % CHANGES_MILLIS && hasChanges) {
            send(r, r.ledger.takeChanges(now));
        }
        if (now % SUMMARY_MILLIS == (r.index * 7L) % SUMMARY_MILLIS) {
            send(r, r.ledger.summary(false, now));
        }
    }

    private void send(Router from, QuotaHint hint) {
        routers.stream()
                .filter(to -> to != from && reaches.test(from.index, to.index))
                .forEach(to -> deliveries.add(new Delivery(now + TRANSIT_MILLIS, to.index, from.name(), hint)));
    }

    /** Requests of one customer at random routers, with as many tokens as short questions and long reviews have. */
    Result request(String customer, QuotaLimit limit, double timesQuota, long millis) {
        return request(customer, limit, timesQuota, millis, Map.of());
    }

    /** The same, with actions at times from the start of the run. */
    Result request(String customer, QuotaLimit limit, double timesQuota, long millis, Map<Long, Runnable> actions) {
        List<Admitted> admitted = new ArrayList<>();
        Map<Long, Runnable> pending = new HashMap<>(actions);
        double exactLevel = limit.burst();
        long exactUnits = 0;
        long asked = 0;
        long start = now;
        double due = 0;
        while (now < start + millis) {
            step();
            Runnable action = pending.remove(now - start);
            if (action != null) {
                action.run();
            }
            exactLevel = Math.min(limit.burst(), exactLevel + limit.ratePerSecond() / 1_000);
            due += limit.ratePerSecond() / 1_000 * timesQuota;
            while (due > 0) {
                long cost = cost();
                due -= cost;
                asked += cost;
                List<Router> running = routers.stream().filter(r -> r.running).toList();
                if (running.isEmpty()) {
                    continue;
                }
                if (exactLevel >= Math.min((double) cost, limit.burst())) {
                    exactLevel -= cost;
                    exactUnits += cost;
                }
                if (running.get(random.nextInt(running.size()))
                        .ledger
                        .admit(customer, limit, cost, now)
                        .admitted()) {
                    admitted.add(new Admitted(now, cost));
                }
            }
        }
        return new Result(admitted, asked, exactUnits);
    }

    private long cost() {
        int kind = random.nextInt(100);
        if (kind == 0) {
            return 39_000;
        }
        return kind < 28 ? 9_190 : 600 + random.nextInt(450);
    }
}
