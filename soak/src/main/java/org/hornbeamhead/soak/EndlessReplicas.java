package org.hornbeamhead.soak;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.hornbeamhead.soak.history.History;

/** Replicas that send bytes without end instead of answers, one after the other. */
final class EndlessReplicas {
    private static final int MIN_MILLIS = 500;
    private static final int MAX_MILLIS = 3_000;
    private static final int MAX_REST_MILLIS = 1_500;
    /** A router needs this long to close what had been sent to such a replica; its callers state 3 s. */
    private static final long SETTLE_MILLIS = 3_500;

    private final SoakFleet fleet;
    private final History history;
    private final Stopwatch clock;
    private volatile boolean over;

    EndlessReplicas(SoakFleet fleet, History history, Stopwatch clock) {
        this.fleet = fleet;
        this.history = history;
        this.clock = clock;
    }

    /** Makes all replicas answer for the rest of the run. */
    void end() {
        over = true;
        fleet.replicas().forEach(r -> r.sendWithoutEnd(Optional.empty()));
    }

    /** Lets one replica after the other send without end until {@link #end} is called. */
    void run(long seed) {
        Random random = new Random(seed);
        try {
            while (!over) {
                Thread.sleep(random.nextInt(MAX_REST_MILLIS));
                List<SoakReplica> all = fleet.replicas();
                sendWithoutEnd(all.get(random.nextInt(all.size())), random);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendWithoutEnd(SoakReplica replica, Random random) throws InterruptedException {
        long from = clock.millis();
        replica.sendWithoutEnd(Optional.of(EndlessAnswer.draw(random)));
        try {
            Thread.sleep(random.nextInt(MIN_MILLIS, MAX_MILLIS));
        } finally {
            replica.sendWithoutEnd(Optional.empty());
            history.add(new History.Disturbed(
                    History.Disturbed.REPLICA_ENDLESS, replica.id(), false, from, clock.millis() + SETTLE_MILLIS));
        }
    }
}
