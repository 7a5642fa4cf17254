package org.hornbeamhead.soak.fault;

import java.util.List;

/**
 * A series of faults in which two leaders of the rollout of weights end while versions are set.
 *
 * @param steps the faults by their time
 */
record Handover(List<Step> steps) {
    /** A router is suspended from before the second leader's first order until after its end. */
    private static final Handover MISSED_LEADER = of(
            new Step(FaultKind.WEIGHTS_NAMED, 0, 0),
            new Step(FaultKind.LEADER_KILLED, 1_200, 1_000),
            new Step(FaultKind.ROUTER_FROZEN, 3_600, 3_900),
            new Step(FaultKind.WEIGHTS_NAMED, 3_800, 0),
            new Step(FaultKind.LEADER_KILLED, 6_000, 3_500),
            new Step(FaultKind.WEIGHTS_NAMED, 7_800, 0));

    /** The store executes what is written before the second leader after its end. */
    private static final Handover LATE_WRITE = of(
            new Step(FaultKind.WEIGHTS_NAMED, 0, 0),
            new Step(FaultKind.LEADER_KILLED, 1_200, 1_000),
            new Step(FaultKind.STORE_WRITES_LATE, 5_300, 1_200),
            new Step(FaultKind.WEIGHTS_NAMED, 7_000, 0),
            new Step(FaultKind.LEADER_KILLED, 7_900, 3_500),
            new Step(FaultKind.WEIGHTS_NAMED, 9_800, 0));

    /** The series that are drawn. */
    static final List<Handover> ALL = List.of(MISSED_LEADER, LATE_WRITE);

    /** Copies the steps, so that the series cannot change. */
    Handover {
        steps = List.copyOf(steps);
    }

    private static Handover of(Step... steps) {
        return new Handover(List.of(steps));
    }

    /**
     * A fault of the series.
     *
     * @param kind what happens
     * @param afterMillis when, in milliseconds from the begin of the series
     * @param lastingMillis for how long, in milliseconds
     */
    record Step(FaultKind kind, long afterMillis, long lastingMillis) {}
}
