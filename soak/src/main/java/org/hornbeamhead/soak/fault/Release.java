package org.hornbeamhead.soak.fault;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.hornbeamhead.soak.fault.FaultPlan.Fault;

/**
 * A release of engines beside routers that are out of step with the store, the other routers, or both.
 *
 * @param at when engines of the next version join
 * @param faults the release, and what happens to routers
 */
record Release(long at, List<Fault> faults) {
    /**
     * From one release to the next: the engines of the version before are gone after 4.3 s, and the next version counts
     * as the only one of its service nine seconds later (the longest timeout of its routes and five seconds).
     */
    static final long PERIOD_MILLIS = 18_000;

    private static final long LASTING_MILLIS = 4_000;
    private static final int MAX_START_MILLIS = 1_500;
    /** A list counts as current for 2.6 s after its last confirmation, so most routers lose touch just before. */
    private static final int MAX_LEAD_MILLIS = 600;

    private static final int MAX_LAG_MILLIS = 1_500;
    private static final int LATE_ONE_IN = 4;
    private static final int MIN_FROZEN_MILLIS = 500;
    private static final int MIN_CUT_MILLIS = 2_000;
    private static final int MAX_FROZEN_MILLIS = 3_000;
    private static final int MAX_CUT_MILLIS = 4_000;

    private static final List<FaultKind> LOSSES = List.of(
            FaultKind.ROUTER_FROZEN,
            FaultKind.STORE_LINK_SILENT,
            FaultKind.STORE_LINK_ONE_WAY,
            FaultKind.ROUTER_CUT_OFF,
            FaultKind.ROUTER_CUT_OFF);

    /** No weights are named from this long before a release to this long after it. */
    private static final long WEIGHTS_KEPT_MILLIS = 5_000;

    /** Copies the faults, so that the release cannot change. */
    Release {
        faults = List.copyOf(faults);
    }

    /** Draws one release, routers that are out of step, and in half of all cases the end of another router. */
    static Release draw(Random random, long fromMillis, int routers) {
        long at = fromMillis + MAX_LEAD_MILLIS + random.nextInt(MAX_START_MILLIS);
        List<Integer> order =
                new ArrayList<>(IntStream.range(0, routers).boxed().toList());
        Collections.shuffle(order, random);
        List<Fault> faults = new ArrayList<>();
        faults.add(new Fault(FaultKind.RELEASE, 0, at, LASTING_MILLIS));
        int outOfStep = 1 + random.nextInt(Math.max(1, routers / 2));
        order.stream().limit(outOfStep).map(i -> loss(random, i, at)).forEach(faults::add);
        if (routers > outOfStep + 1 && random.nextBoolean()) {
            faults.add(new Fault(
                    FaultKind.ROUTER_KILLED,
                    order.get(routers - 1),
                    at + random.nextInt(MAX_LAG_MILLIS),
                    MIN_FROZEN_MILLIS));
        }
        return new Release(at, faults);
    }

    /**
     * Adds those of its faults that begin in time. Engines refuse requests for other weights than theirs, so a router
     * that has missed new ones could go on with no stream, whatever the version.
     */
    void addTo(List<Fault> others, long untilMillis) {
        others.removeIf(f -> f.kind() == FaultKind.WEIGHTS_NAMED && Math.abs(f.at() - at) < WEIGHTS_KEPT_MILLIS);
        faults.stream().filter(f -> f.at() < untilMillis).forEach(others::add);
    }

    private static Fault loss(Random random, int router, long at) {
        FaultKind kind = LOSSES.get(random.nextInt(LOSSES.size()));
        boolean late = random.nextInt(LATE_ONE_IN) == 0;
        long begin = late ? at + random.nextInt(MAX_LAG_MILLIS) : at - random.nextInt(MAX_LEAD_MILLIS);
        long lasting = kind == FaultKind.ROUTER_FROZEN
                ? random.nextLong(MIN_FROZEN_MILLIS, MAX_FROZEN_MILLIS)
                : random.nextLong(MIN_CUT_MILLIS, MAX_CUT_MILLIS);
        return new Fault(kind, router, begin, lasting);
    }
}
