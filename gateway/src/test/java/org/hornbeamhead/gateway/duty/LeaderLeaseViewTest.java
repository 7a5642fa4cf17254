package org.hornbeamhead.gateway.duty;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.OptionalLong;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests from when a router counts a vacancy of the leader lease. */
public class LeaderLeaseViewTest {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final StoreItem TERM = new StoreItem(LeaderLeaseView.TERM_KEY, 7, "a", false);
    private static final StoreItem NEXT_TERM = new StoreItem(LeaderLeaseView.TERM_KEY, 9, "b", false);
    private static final StoreItem HELD = new StoreItem(
            LeaderLeaseView.RECORD_KEY, 8, LeaderRecord.heldBy("a").toJson(), false);
    private static final StoreItem UNREADABLE = new StoreItem(LeaderLeaseView.RECORD_KEY, 8, "?", false);
    private static final StoreItem REMOVED = new StoreItem(LeaderLeaseView.RECORD_KEY, 9, "", true);
    private static final StoreItem REMOVED_LATER = new StoreItem(LeaderLeaseView.RECORD_KEY, 11, "", true);
    private static final StoreItem OTHER = new StoreItem("other", 10, "", false);

    private static StoreChanges snapshot(long revision, StoreItem... items) {
        return new StoreChanges(List.of(items), revision, true);
    }

    private static StoreChanges changes(long revision, StoreItem... items) {
        return new StoreChanges(List.of(items), revision, false);
    }

    /** Returns what the router receives, one second after the other, and the update with which the vacancy starts. */
    @DataProvider
    public Object[][] updates() {
        return new Object[][] {
            {"not read yet", List.of(), 0},
            {"first start of the fleet", List.of(snapshot(1)), 1},
            {"held", List.of(snapshot(8, TERM, HELD)), 0},
            {"vanished", List.of(snapshot(8, TERM, HELD), changes(9, REMOVED)), 2},
            {"vanished before the first read", List.of(snapshot(9, TERM)), 1},
            {"other changes", List.of(snapshot(9, TERM), changes(10, OTHER)), 1},
            {"term read after the record", List.of(snapshot(6, TERM)), 0},
            {"term read after the record, then caught up", List.of(snapshot(6, TERM), changes(8)), 2},
            {"leader missed", List.of(snapshot(8, TERM), changes(11, NEXT_TERM, REMOVED_LATER)), 2},
            {"leader missed, history discarded", List.of(snapshot(8, TERM), snapshot(11, NEXT_TERM)), 2},
            {"leader missed that wrote no term", List.of(snapshot(9, TERM, REMOVED), changes(11, REMOVED_LATER)), 2},
            {"unreadable record", List.of(snapshot(8, TERM, UNREADABLE)), 1},
        };
    }

    /**
     * Guards against a vacancy that is counted from before the store was read, or across a leader.
     *
     * @param situation names the situation
     * @param received what the router receives
     * @param startedBy the number of the update with which the vacancy starts, 0 if there is none
     */
    @Test(dataProvider = "updates")
    public void vacancyStartsInCurrentTerm(String situation, List<StoreChanges> received, int startedBy) {
        ManualClock clock = new ManualClock(0);
        StoreMirror mirror = new StoreMirror();
        LeaderLeaseView view = new LeaderLeaseView(clock, mirror);
        view.observeVacancy();
        received.forEach(update -> {
            clock.advance(INTERVAL_MILLIS);
            mirror.apply(update);
            view.observeVacancy();
        });
        clock.advance(INTERVAL_MILLIS);
        OptionalLong expected = startedBy == 0 ? OptionalLong.empty() : OptionalLong.of(startedBy * INTERVAL_MILLIS);
        assertEquals(view.observeVacancy(), expected, situation);
    }
}
