package org.hornbeamhead.core.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalInt;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how many requests a brittle replica gets. */
public class BrittleLimitTest {
    private static final int SLOTS = 8;

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"nothing in progress", 0, 0, true},
            {"this router's part is used, others use little", 2, 3, true},
            {"this router's part is used, others use much", 2, 6, false},
            {"within its part, though others use much", 1, 7, true},
            {"all slots are taken", 0, 8, false},
        };
    }

    /** Guards against sending more than finds room, by what a router knows of all. */
    @Test(dataProvider = "loads")
    public void requestsInProgressAreLimitedBySlots(String description, int own, int total, boolean accepted) {
        BrittleLimit limit = new BrittleLimit();
        assertTrue(limit.accepts(50, 50, SLOTS, 0.25, 0), "nothing is stated");
        limit.recordStatement(4, 0);
        assertEquals(limit.accepts(own, total, SLOTS, 0.25, 1), accepted, description);
    }

    /** Guards against rejections of several routers that add up to a fall. */
    @Test
    public void rejectionsOfOtherRoutersCount() {
        BrittleLimit limit = new BrittleLimit();
        limit.recordStatement(4, 0);
        limit.recordRejection(100);
        assertTrue(limit.accepts(0, 0, SLOTS, 1, 101));
        limit.merge(1, 1, new BrittleHint.Entry(0, 4, 1), 110);
        assertFalse(limit.accepts(0, 0, SLOTS, 1, 120));
        assertTrue(limit.accepts(0, 0, SLOTS, 1, 1_200));
    }

    /** Guards against a limit that holds on after the replica has ceased to say that it is brittle. */
    @Test
    public void laterAnswerWithoutStatementEndsIt() {
        BrittleLimit limit = new BrittleLimit();
        limit.recordStatement(0, 100);
        assertFalse(limit.recordSilence(90), "the request was sent before the statement");
        assertTrue(limit.isBrittle(200));
        assertTrue(limit.recordSilence(150));
        assertFalse(limit.isBrittle(200));
        assertTrue(limit.accepts(50, 50, SLOTS, 0.1, 200));
    }

    /** Guards against a replica that gets nothing for good after it rejected requests. */
    @Test
    public void limitRecoversWithCompletedRequests() {
        BrittleLimit limit = new BrittleLimit();
        limit.recordStatement(100, 0);
        limit.accepts(0, 0, SLOTS, 1, 0);
        for (int i = 0; i < 20; i++) {
            limit.recordRejection(0);
        }
        assertFalse(limit.accepts(1, 1, SLOTS, 1, 0));
        assertTrue(limit.accepts(0, 0, SLOTS, 1, 0));
        for (int i = 0; i < 100; i++) {
            limit.recordCompletion();
        }
        assertTrue(limit.accepts(7, 7, SLOTS, 1, 0));
    }

    /** Guards against a limit that is lowered when it is only looked at. */
    @Test(dataProvider = "loads")
    public void lookingAtTheLimitDoesNotLowerIt(String description, int own, int total, boolean accepted) {
        BrittleLimit limit = new BrittleLimit();
        OptionalInt presumed = OptionalInt.of(4);
        assertEquals(limit.wouldAccept(own, total, SLOTS, 0.25, presumed, 0), accepted, description);
        assertTrue(limit.wouldAccept(50, 50, SLOTS, 0.25, OptionalInt.empty(), 0), "nothing is stated");
        limit.recordStatement(4, 0);
        assertFalse(limit.wouldAccept(1, 1, 1, 0.25, OptionalInt.empty(), 1));
        assertEquals(limit.wouldAccept(own, total, SLOTS, 0.25, OptionalInt.empty(), 1), accepted, description);
        assertEquals(limit.accepts(own, total, SLOTS, 0.25, 1), accepted, description);
    }
}
