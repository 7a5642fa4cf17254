package org.hornbeamhead.core.availability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class NoticeStateTest {
    private record Request(long atMillis, long pauseMillis) {}

    /** The pauses that were asked for in the order of their answers, and when the last one is over. */
    @DataProvider
    public Object[][] pauses() {
        return new Object[][] {
            {List.of(new Request(1_000, 3_000)), 4_000},
            {List.of(new Request(1_000, 3_000), new Request(1_500, 500)), 4_000},
            {List.of(new Request(1_000, 3_000), new Request(3_900, 3_000)), 6_900},
            {List.of(new Request(1_000, 100), new Request(5_000, 200)), 5_200},
            {List.of(new Request(1_000, 600_000), new Request(2_000, 1)), 601_000}
        };
    }

    /** Guards against a shorter pause that ends a longer one, and against one that does not end. */
    @Test(dataProvider = "pauses")
    public void latestEndHolds(List<Request> requests, long endMillis) {
        NoticeState state = new NoticeState();
        requests.forEach(r -> state.recordBackOff(r.pauseMillis(), r.atMillis()));
        long last = requests.get(requests.size() - 1).atMillis();
        assertTrue(LongStream.of(last, endMillis - 1).allMatch(state::isBackingOff));
        assertFalse(state.isBackingOff(endMillis));
        assertFalse(state.isRelevant(endMillis));
    }

    @Test
    public void replicaThatSaidNothingIsAvailableAtAnyTime() {
        NoticeState state = new NoticeState();
        assertFalse(state.isLeaving());
        assertFalse(state.hasAskedToBackOff());
        assertTrue(LongStream.of(Long.MIN_VALUE / 4, 0, Long.MAX_VALUE).noneMatch(state::isBackingOff));
    }

    /** Guards against a leave that ends with a pause, and against a log line for each of its answers. */
    @Test
    public void leaveLastsAndIsNewOnce() {
        NoticeState state = new NoticeState();
        state.recordBackOff(10, 0);
        assertEquals(List.of(state.recordLeaving(), state.recordLeaving()), List.of(true, false));
        assertTrue(state.isLeaving() && state.isRelevant(Long.MAX_VALUE));
    }
}
