package org.hornbeamhead.core.shortage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Tests the times at which refused callers are told to return. */
public class ReturnScheduleTest {
    private static final long NOW = 10_000;
    private static final long TIME_LEFT = 15_000;

    private static ReturnSchedule sending(int perSecond) {
        ReturnSchedule schedule = new ReturnSchedule();
        LongStream.range(0, 10L * perSecond).forEach(i -> schedule.recordSent(i * 1_000 / perSecond));
        return schedule;
    }

    /** Guards against callers that are refused together and return together. */
    @Test
    public void returnsAreSpacedByTheRateOfSends() {
        ReturnSchedule schedule = sending(20);
        List<Long> delays = IntStream.range(0, 10)
                .mapToObj(i -> schedule.bookReturnMillis(2, TIME_LEFT, NOW))
                .toList();
        assertEquals(delays.get(0), Long.valueOf(300));
        IntStream.range(1, 10).forEach(i -> assertEquals((double) (delays.get(i) - delays.get(i - 1)), 50, 2));
    }

    /** Guards against urgent callers that queue behind less urgent ones. */
    @Test
    public void urgentCallersComeFirst() {
        ReturnSchedule schedule = sending(20);
        long last = IntStream.range(0, 20)
                .mapToLong(i -> schedule.bookReturnMillis(2, TIME_LEFT, NOW))
                .max()
                .orElseThrow();
        assertEquals(schedule.bookReturnMillis(0, TIME_LEFT, NOW), 300);
        assertTrue(schedule.bookReturnMillis(2, TIME_LEFT, NOW) >= last + 100, "moved back by the urgent return");
    }

    /** Guards against delays beyond a third of the caller's time, and against returns that coincide at that bound. */
    @Test
    public void staysWithinAThirdOfTheTimeLeft() {
        ReturnSchedule schedule = new ReturnSchedule();
        List<Long> delays = IntStream.range(0, 100)
                .mapToObj(i -> schedule.bookReturnMillis(2, 3_000, NOW))
                .toList();
        assertTrue(delays.stream().allMatch(d -> d >= 300 && d <= 1_000), delays.toString());
        assertTrue(new HashSet<>(delays).size() > 80, delays.toString());
        assertEquals(schedule.bookReturnMillis(2, 300, NOW), 100);
    }
}
