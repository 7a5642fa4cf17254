package org.hornbeamhead.soak.fault;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.hornbeamhead.soak.fault.FaultKind.Target;

/**
 * What happens in a run, and when. The same seed gives the same plan. Faults come alone, in series of the same kind,
 * and over one another.
 *
 * @param faults the faults by their time
 */
public record FaultPlan(List<Fault> faults) {
    /** Callers work undisturbed for this long first. */
    private static final long QUIET_START_MILLIS = 3_000;
    /** The mean time between two series. */
    private static final int MEAN_GAP_MILLIS = 1_500;

    private static final int MAX_SERIES = 3;
    private static final int MAX_SERIES_GAP_MILLIS = 900;
    private static final int MIN_LASTING_MILLIS = 300;
    private static final int MAX_LASTING_MILLIS = 4_000;
    /** Lost paths last longer, since routers have some seconds to notice them. */
    private static final long PATH_MILLIS = 6_000;

    private static final int MAX_FROZEN_MILLIS = 2_000;
    /** A series that ends one leader after the other lasts this long. */
    private static final long HANDOVER_MILLIS = 11_000;

    private static final int MAX_HANDOVER_START_MILLIS = 2_000;
    private static final int MAX_HANDOVER_JITTER_MILLIS = 500;
    /** Faults that are drawn by themselves. */
    private static final Set<Target> DRAWN_APART = EnumSet.of(
            Target.PATH, Target.FROZEN_REPLICA, Target.LEADER, Target.STORE_WRITES, Target.PEER_LINKS, Target.ENGINES);

    /**
     * One fault.
     *
     * @param kind what happens
     * @param index which router or replica, counted from 0
     * @param at when, in milliseconds since the run began
     * @param lasting for how long, in milliseconds
     */
    public record Fault(FaultKind kind, int index, long at, long lasting) {}

    /** Copies the faults, so that the plan cannot change. */
    public FaultPlan {
        faults = List.copyOf(faults);
    }

    /**
     * Draws a plan.
     *
     * @param seed the seed
     * @param untilMillis when the last fault begins at the latest
     * @param routers the routers
     * @param replicas the replicas
     * @param lostPaths how often a router loses its path to all replicas, beside the other faults
     * @param pausing sound replicas at a time that stand still and go on, beside the other faults
     * @param handovers how often leaders end one after the other, beside the other faults
     * @param releases how often engines of a new software version join while routers are out of step
     * @return the plan
     */
    public static FaultPlan draw(
            long seed,
            long untilMillis,
            int routers,
            int replicas,
            int lostPaths,
            int pausing,
            int handovers,
            int releases) {
        List<Fault> faults = new ArrayList<>(drawOthers(seed, untilMillis, routers, replicas));
        faults.addAll(drawLostPaths(new Random(~seed), untilMillis, routers, lostPaths));
        IntStream.range(0, pausing)
                .forEach(i -> faults.addAll(drawPauses(new Random(seed * 31 + i), untilMillis, replicas)));
        IntStream.range(0, handovers)
                .forEach(i -> faults.addAll(
                        drawHandover(new Random(seed * 17 + i), i * HANDOVER_MILLIS, untilMillis, routers)));
        IntStream.range(0, releases)
                .mapToObj(i -> Release.draw(
                        new Random(seed * 13 + i), QUIET_START_MILLIS + i * Release.PERIOD_MILLIS, routers))
                .forEach(r -> r.addTo(faults, untilMillis));
        faults.sort(Comparator.comparingLong(Fault::at));
        return new FaultPlan(faults);
    }

    /** Draws the losses of paths by themselves, so that the other faults of a seed do not depend on them. */
    private static List<Fault> drawLostPaths(Random random, long untilMillis, int routers, int lostPaths) {
        List<FaultKind> kinds = kinds(k -> k.target() == Target.PATH);
        return IntStream.range(0, lostPaths)
                .mapToObj(i -> fault(
                        kinds.get(random.nextInt(kinds.size())),
                        QUIET_START_MILLIS + (long) random.nextInt((int) Math.max(1, untilMillis - QUIET_START_MILLIS)),
                        random,
                        routers,
                        0))
                .toList();
    }

    /** Draws pauses of one replica after the other, by themselves as well. */
    private static List<Fault> drawPauses(Random random, long untilMillis, int replicas) {
        List<Fault> pauses = new ArrayList<>();
        long at = QUIET_START_MILLIS;
        while (at < untilMillis) {
            long lasting = random.nextLong(MIN_LASTING_MILLIS, MAX_FROZEN_MILLIS);
            pauses.add(new Fault(FaultKind.REPLICA_FROZEN, random.nextInt(replicas), at, lasting));
            at += lasting + random.nextInt(MAX_SERIES_GAP_MILLIS);
        }
        return pauses;
    }

    /** Draws two leaders that end one after the other, and what another router may mistake the second end for. */
    private static List<Fault> drawHandover(Random random, long fromMillis, long untilMillis, int routers) {
        long start = QUIET_START_MILLIS + fromMillis + random.nextInt(MAX_HANDOVER_START_MILLIS);
        return Handover.ALL.get(random.nextInt(Handover.ALL.size())).steps().stream()
                .map(s -> new Fault(
                        s.kind(),
                        random.nextInt(routers),
                        start + s.afterMillis() + random.nextInt(MAX_HANDOVER_JITTER_MILLIS),
                        s.lastingMillis()))
                .filter(f -> f.at() < untilMillis)
                .toList();
    }

    private static List<FaultKind> kinds(Predicate<FaultKind> condition) {
        return Arrays.stream(FaultKind.values()).filter(condition).toList();
    }

    private static List<Fault> drawOthers(long seed, long untilMillis, int routers, int replicas) {
        Random random = new Random(seed);
        List<FaultKind> kinds = kinds(k -> !DRAWN_APART.contains(k.target()));
        List<Fault> faults = new ArrayList<>();
        long at = QUIET_START_MILLIS;
        while (at < untilMillis) {
            FaultKind kind = kinds.get(random.nextInt(kinds.size()));
            long next = at;
            for (int i = 1 + random.nextInt(MAX_SERIES); i > 0 && next < untilMillis; i--) {
                faults.add(fault(kind, next, random, routers, replicas));
                next += random.nextInt(MAX_SERIES_GAP_MILLIS);
            }
            at += random.nextInt(2 * MEAN_GAP_MILLIS);
        }
        return faults;
    }

    private static Fault fault(FaultKind kind, long at, Random random, int routers, int replicas) {
        int index =
                switch (kind.target()) {
                    case ROUTER, STORE_LINK, PEER_LINKS, PATH -> random.nextInt(routers);
                    case REPLICA, FROZEN_REPLICA -> random.nextInt(replicas);
                    case LEADER, ALL_ROUTERS, STORE, STORE_WRITES, ENGINES, OPERATORS -> 0;
                };
        long lasting = MIN_LASTING_MILLIS + (long) random.nextInt(MAX_LASTING_MILLIS - MIN_LASTING_MILLIS);
        return new Fault(kind, index, at, kind.target() == Target.PATH ? lasting + PATH_MILLIS : lasting);
    }
}
