package org.hornbeamhead.soak;

import java.util.stream.IntStream;

/**
 * The size of a run.
 *
 * @param seed decides which faults come, and when
 * @param seconds for how long faults begin
 * @param routers the routers, each a process
 * @param replicas the replicas, half of them engines
 * @param callers callers that send one request after the other
 * @param crashing requests that end each replica that runs them, each sent again and again
 * @param limiting replicas that state a request limit
 * @param announcing replicas at a time that leave by their answers, or ask for pauses
 * @param lostPaths how often a router loses its path to all replicas
 * @param pausing sound replicas at a time that stand still for up to two seconds and go on
 * @param brittle whether the replicas of one service at a time are brittle
 * @param endless replicas at a time that send bytes without end instead of answers
 * @param resuming callers that leave streams and resume them, while engines of two software versions are rolled
 * @param handovers how often leaders of the rollout of weights end one after the other
 * @param releases how often engines of a new software version join while routers are out of step
 */
record SoakSettings(
        long seed,
        int seconds,
        int routers,
        int replicas,
        int callers,
        int crashing,
        int limiting,
        int announcing,
        int lostPaths,
        int pausing,
        boolean brittle,
        int endless,
        int resuming,
        int handovers,
        int releases) {
    /**
     * With releases, each router knows the others by addresses of its own, so that routers choose different ones to
     * tell of a stream. Up to four routers all are told.
     */
    private static final int MAX_ROUTERS_WITH_RELEASES = 4;

    SoakSettings {
        if (seconds < 1 || routers < 1 || replicas < 6 || callers < 1) {
            throw new IllegalArgumentException("a run needs a second, a router, six replicas and a caller at least");
        }
        if (releases > 0 && routers > MAX_ROUTERS_WITH_RELEASES) {
            throw new IllegalArgumentException("a run with releases has four routers at most");
        }
        if (IntStream.of(limiting, announcing, pausing, endless).anyMatch(n -> n < 0 || n > replicas)) {
            throw new IllegalArgumentException("of " + replicas + " replicas, " + limiting + " cannot state a limit, "
                    + announcing + " announce anything, " + pausing + " pause and " + endless
                    + " send without end");
        }
        if (IntStream.of(crashing, lostPaths, resuming, handovers, releases).anyMatch(n -> n < 0)) {
            throw new IllegalArgumentException("a run cannot have " + crashing + " requests that end replicas, "
                    + lostPaths + " lost paths, " + resuming + " resuming callers, " + handovers + " handovers and "
                    + releases + " releases");
        }
    }
}
