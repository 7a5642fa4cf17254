package org.hornbeamhead.soak.promise;

import java.util.Arrays;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Disturbed;
import org.hornbeamhead.soak.history.History.Ordered;

/** Histories of the orders of two leaders. */
final class LeaderHistories {
    private static final String PROMISE = "pauses between leaders";

    private LeaderHistories() {}

    private static History orders(String otherReplica, long otherAt, Disturbed... others) {
        History h = new History()
                .add(new Ordered("r1", "a", 6, true, 10))
                .add(new Ordered(otherReplica, "b", 7, true, otherAt));
        Arrays.stream(others).forEach(h::add);
        return h;
    }

    private static Disturbed disturbedUntil(String subject, long goesOnAt) {
        return new Disturbed("ROUTER_FROZEN", subject, false, 500, goesOnAt + Disturbed.SETTLING_MILLIS);
    }

    /** Returns the promise, a history that breaks it, and one like it that does not. */
    static Object[][] rows() {
        return new Object[][] {
            {PROMISE, orders("r1", 3_009), orders("r1", 3_010)},
            {PROMISE, orders("r1", 3_009), orders("r2", 3_009)},
            {PROMISE, orders("r1", 2_801, disturbedUntil("b", 2_500)), orders("r1", 2_800, disturbedUntil("b", 2_500))},
            {PROMISE, orders("r1", 2_500, disturbedUntil("c", 2_500)), orders("r1", 2_500, disturbedUntil("r1", 2_500))
            },
        };
    }
}
