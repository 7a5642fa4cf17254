package org.hornbeamhead.soak;

import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.hornbeamhead.soak.history.History;

/** Services whose replicas are slow and brittle for some time, one after the other. */
final class BrittleReplicas {
    private static final List<String> SERVICES = List.of("plain", "lm");
    private static final int MIN_BRITTLE_MILLIS = 6_000;
    private static final int MAX_BRITTLE_MILLIS = 9_000;
    private static final int MAX_TOLERANCE = 6;
    private static final int MAX_PAUSE_MILLIS = 1_500;

    private final SoakFleet fleet;
    private final History history;
    private final Stopwatch clock;
    private volatile boolean over;

    BrittleReplicas(SoakFleet fleet, History history, Stopwatch clock) {
        this.fleet = fleet;
        this.history = history;
        this.clock = clock;
    }

    /** Makes all replicas sound for the rest of the run. */
    void end() {
        over = true;
        SERVICES.forEach(s -> fleet.setBrittle(s, OptionalInt.empty()));
    }

    /** Makes one service after the other brittle until {@link #end} is called. */
    void run(long seed) {
        Random random = new Random(seed);
        while (!over) {
            makeBrittle(SERVICES.get(random.nextInt(SERVICES.size())), 1 + random.nextInt(MAX_TOLERANCE), random);
        }
    }

    private void makeBrittle(String service, int tolerance, Random random) {
        long from = clock.millis();
        int replicas = fleet.setBrittle(service, OptionalInt.of(tolerance));
        try {
            Thread.sleep(MIN_BRITTLE_MILLIS + random.nextInt(MAX_BRITTLE_MILLIS - MIN_BRITTLE_MILLIS));
        } catch (InterruptedException e) {
            over = true;
        }
        fleet.setBrittle(service, OptionalInt.empty());
        history.add(new History.Brittle(service, replicas, from, clock.millis()));
        try {
            Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        } catch (InterruptedException e) {
            over = true;
        }
    }
}
