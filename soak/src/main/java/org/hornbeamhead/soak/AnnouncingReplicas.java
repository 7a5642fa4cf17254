package org.hornbeamhead.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.List;
import java.util.Random;

/** Replicas that leave by their answers alone, or turn requests away and ask for pauses, over and over. */
final class AnnouncingReplicas {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MIN_PAUSE_MILLIS = 700;
    private static final int MAX_PAUSE_MILLIS = 3_000;
    private static final int MAX_REFUSING_MILLIS = 4_000;
    /** The entry in the store says so this long after the answers did, and the process ends later still. */
    private static final int MIN_UNLISTED_MILLIS = 2_500;

    private static final int MAX_UNLISTED_MILLIS = 6_000;
    private static final long GRACE_MILLIS = 2_000;
    private static final int MAX_REST_MILLIS = 1_000;

    private final SoakFleet fleet;
    private volatile boolean over;

    AnnouncingReplicas(SoakFleet fleet) {
        this.fleet = fleet;
    }

    void end() {
        over = true;
    }

    /** Lets one replica after the other announce something until the run is over. */
    void run(long seed) {
        Random random = new Random(seed);
        try {
            while (!over) {
                List<SoakReplica> all = fleet.replicas();
                SoakReplica replica = all.get(random.nextInt(all.size()));
                if (random.nextBoolean()) {
                    leave(replica, random);
                } else {
                    pause(replica, random);
                }
                Thread.sleep(random.nextInt(MAX_REST_MILLIS));
            }
        } catch (IOException e) {
            logger.atWarning().withCause(e).log("a replica could not be replaced");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void leave(SoakReplica replica, Random random) throws IOException, InterruptedException {
        replica.announceLeave();
        Thread.sleep(random.nextInt(MIN_UNLISTED_MILLIS, MAX_UNLISTED_MILLIS));
        fleet.replace(replica, GRACE_MILLIS);
    }

    private static void pause(SoakReplica replica, Random random) throws InterruptedException {
        replica.pause(random.nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
        try {
            Thread.sleep(random.nextInt(MAX_REFUSING_MILLIS));
        } finally {
            replica.pause(0);
        }
    }
}
