package org.hornbeamhead.core.forward;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.hornbeamhead.core.route.RequestKind;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.route.RouteLimits;
import org.hornbeamhead.core.route.WeightedService;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the comparison of responses with the targets of their routes. */
public class ServedOutcomeTest {
    private static Route route(RequestKind kind, long latencyMillis, long gapMillis) {
        return new Route(
                "r",
                "h",
                "/",
                kind,
                false,
                false,
                false,
                new RouteLimits(4_000, latencyMillis, gapMillis, 1),
                0,
                List.of(new WeightedService("s", 1)));
    }

    @DataProvider
    public Object[][] deliveries() {
        return new Object[][] {
            {RequestKind.STREAM, 400, 300, new ServedTimes(400, 300, 9_000), ServedOutcome.ON_TIME},
            {RequestKind.STREAM, 400, 300, new ServedTimes(401, 301, 9_000), ServedOutcome.LATE_FIRST_EVENT},
            {RequestKind.STREAM, 400, 300, new ServedTimes(0, 301, 9_000), ServedOutcome.LATE_PAUSE},
            {RequestKind.STREAM, 400, 0, new ServedTimes(0, 5_000, 9_000), ServedOutcome.ON_TIME},
            {RequestKind.STREAM, 0, 0, new ServedTimes(5_000, 5_000, 9_000), ServedOutcome.ON_TIME},
            {RequestKind.STREAM, 400, 300, new ServedTimes(-1, 0, 400), ServedOutcome.ON_TIME},
            {RequestKind.STREAM, 400, 300, new ServedTimes(-1, 0, 401), ServedOutcome.LATE_FIRST_EVENT},
            {RequestKind.IDEMPOTENT, 400, 0, new ServedTimes(10, 0, 400), ServedOutcome.ON_TIME},
            {RequestKind.NOT_IDEMPOTENT, 400, 0, new ServedTimes(10, 0, 401), ServedOutcome.LATE},
            {RequestKind.IDEMPOTENT, 0, 0, new ServedTimes(10, 0, 9_000), ServedOutcome.ON_TIME},
        };
    }

    /** Guards against counting late responses as on time, or those at their targets as late. */
    @Test(dataProvider = "deliveries")
    public void completeResponseIsComparedWithTheTargets(
            RequestKind kind, long latencyMillis, long gapMillis, ServedTimes times, ServedOutcome expected) {
        assertEquals(ServedOutcome.delivered(route(kind, latencyMillis, gapMillis), times), expected);
    }

    @DataProvider
    public Object[][] finalResponses() {
        return new Object[][] {
            {FinalResponse.NOT_RUN, ServedOutcome.REFUSED},
            {FinalResponse.OVER_QUOTA, ServedOutcome.REFUSED},
            {FinalResponse.OUTCOME_UNKNOWN, ServedOutcome.FAILED},
            {FinalResponse.TIMED_OUT, ServedOutcome.FAILED},
            {FinalResponse.REPLICA_FAILURE, ServedOutcome.FAILED},
            {FinalResponse.BROKEN_OFF, ServedOutcome.FAILED},
        };
    }

    /** Guards against counting requests that may have run as refused. */
    @Test(dataProvider = "finalResponses")
    public void onlyRequestsThatWereNotRunAreRefused(FinalResponse response, ServedOutcome expected) {
        assertEquals(ServedOutcome.of(response), expected);
    }
}
