package org.hornbeamhead.soak;

import java.util.Collections;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.Collectors;
import org.hornbeamhead.soak.history.History;

/** Replicas that state a request limit in their answers for some time, over and over. */
final class LimitingReplicas {
    private static final int MIN_LIMITED_MILLIS = 6_000;
    private static final int MAX_LIMITED_MILLIS = 12_000;
    private static final int MAX_PAUSE_MILLIS = 2_000;
    /** From less than one request in a second to a part of what comes. */
    private static final double MAX_LIMIT = 6;

    private final SoakFleet fleet;
    private final History history;
    private final Stopwatch clock;

    LimitingReplicas(SoakFleet fleet, History history, Stopwatch clock) {
        this.fleet = fleet;
        this.history = history;
        this.clock = clock;
    }

    /** States limits at some replicas until the thread is told to end. */
    void run(int count, long seed) {
        Random random = new Random(seed);
        while (!Thread.currentThread().isInterrupted()) {
            List<SoakReplica> all = fleet.replicas().stream().collect(Collectors.toList());
            Collections.shuffle(all, random);
            limit(all.subList(0, Math.min(count, all.size())), random.nextDouble() * MAX_LIMIT, random);
        }
    }

    private void limit(List<SoakReplica> limited, double perSecond, Random random) {
        long from = clock.millis();
        limited.forEach(r -> r.limit(OptionalDouble.of(perSecond)));
        try {
            Thread.sleep(MIN_LIMITED_MILLIS + random.nextInt(MAX_LIMITED_MILLIS - MIN_LIMITED_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        long to = clock.millis();
        limited.forEach(r -> {
            r.limit(OptionalDouble.empty());
            history.add(new History.Limited(r.id(), perSecond, from, to));
        });
        pause(random);
    }

    private static void pause(Random random) {
        try {
            Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
