package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EngineAdmissionTest {
    private static final long TARGET_MILLIS = 800;
    private static final long TIME_LEFT_MILLIS = 5_000;

    private static EngineChoice choice(double waitMillis, double predictedMillis) {
        return new EngineChoice(
                null, 0, waitMillis, predictedMillis, 0, predictedMillis, Optional.empty(), 0, false, false, false, "");
    }

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"an idle engine", 0, 150, false},
            {"a very long prompt at an idle engine", 0, 1_500, false},
            {"a wait within the target", 500, 700, false},
            {"late because of other requests", 700, 900, true},
            {"hopeless", 0, 6_000, true},
        };
    }

    @Test(dataProvider = "requests")
    public void rejectsOnlyRequestsDelayedByOthers(
            String description, double waitMillis, double predictedMillis, boolean rejected) {
        assertEquals(
                EngineAdmission.retryAfterMillis(choice(waitMillis, predictedMillis), TARGET_MILLIS, TIME_LEFT_MILLIS)
                        .isPresent(),
                rejected,
                description);
    }

    /**
     * For six seconds a request of 150 ms arrives every 100 ms at one engine, half as much again as it can prefill. If
     * all are accepted, all but the first few wait beyond the target: 9 of 60 are on time. With admission 40 are, since
     * a request that would be late is rejected instead of queued.
     */
    @Test
    public void admissionKeepsRequestsOnTimeUnderOverload() {
        assertTrue(countOnTime(false) <= 14, "without admission: " + countOnTime(false));
        assertTrue(countOnTime(true) >= 36, "with admission: " + countOnTime(true));
    }

    private static long countOnTime(boolean withAdmission) {
        List<Double> firstEventMillis = new ArrayList<>();
        double busyUntil = 0;
        for (int now = 0; now < 6_000; now += 100) {
            double waitMillis = Math.max(0, busyUntil - now);
            if (withAdmission
                    && EngineAdmission.retryAfterMillis(
                                    choice(waitMillis, waitMillis + 150), TARGET_MILLIS, TIME_LEFT_MILLIS)
                            .isPresent()) {
                continue;
            }
            busyUntil = Math.max(busyUntil, now) + 150;
            firstEventMillis.add(busyUntil - now);
        }
        return firstEventMillis.stream().filter(t -> t <= TARGET_MILLIS).count();
    }
}
