package org.hornbeamhead.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import org.hornbeamhead.core.forward.Forwarding.Means;
import org.hornbeamhead.core.forward.NextStep.GiveUp;
import org.hornbeamhead.core.forward.NextStep.SendElsewhere;
import org.hornbeamhead.core.route.RequestKind;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.route.RoutingConfigTest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ForwardingTest {
    private static final Means ALL = new Means(true, true, () -> true);

    private static Route route(RequestKind kind, boolean resumable, int tries) {
        return RoutingConfigTest.route("r", "h", "/", kind, resumable, tries);
    }

    private static final Route IDEMPOTENT = route(RequestKind.IDEMPOTENT, false, 2);
    private static final Route ONCE = route(RequestKind.NOT_IDEMPOTENT, false, 1);
    private static final Route RESUMABLE = route(RequestKind.STREAM, true, 2);
    private static final Route STREAM = route(RequestKind.STREAM, false, 1);

    @DataProvider
    public Object[][] firstEnds() {
        NextStep again = new SendElsewhere();
        NextStep unknown = new GiveUp(FinalAnswer.OUTCOME_UNKNOWN);
        NextStep timedOut = new GiveUp(FinalAnswer.TIMED_OUT);
        NextStep failure = new GiveUp(FinalAnswer.REPLICA_FAILURE);
        return new Object[][] {
            {IDEMPOTENT, AttemptEnd.NOT_SENT, again},
            {IDEMPOTENT, AttemptEnd.REFUSED, again},
            {IDEMPOTENT, AttemptEnd.MISDIRECTED, again},
            {IDEMPOTENT, AttemptEnd.BROKEN, again},
            {IDEMPOTENT, AttemptEnd.SILENT, again},
            {IDEMPOTENT, AttemptEnd.FAILED, again},
            {ONCE, AttemptEnd.NOT_SENT, again},
            {ONCE, AttemptEnd.REFUSED, again},
            {ONCE, AttemptEnd.MISDIRECTED, again},
            {ONCE, AttemptEnd.BROKEN, unknown},
            {ONCE, AttemptEnd.SILENT, timedOut},
            {ONCE, AttemptEnd.FAILED, failure},
            {STREAM, AttemptEnd.NOT_SENT, again},
            {STREAM, AttemptEnd.BROKEN, unknown},
            {STREAM, AttemptEnd.SILENT, timedOut},
            {RESUMABLE, AttemptEnd.BROKEN, again},
            {RESUMABLE, AttemptEnd.SILENT, again},
        };
    }

    /**
     * A try ends in each possible way at each kind of request. Only what surely has not run, or may run again, is sent
     * elsewhere; the caller of a request that may run once is never told that it has not run after it was sent.
     */
    @Test(dataProvider = "firstEnds")
    public void whatFollowsTheFirstTry(Route route, AttemptEnd end, NextStep expected) {
        assertEquals(new Forwarding(route).after(end, ALL), expected);
    }

    @DataProvider
    public Object[][] hindrances() {
        return new Object[][] {
            {new Means(false, true, () -> true)},
            {new Means(true, false, () -> true)},
            {new Means(true, true, () -> false)},
        };
    }

    /** Nothing more can be done, and no replica ran the request: the caller is told so, and may come back. */
    @Test(dataProvider = "hindrances")
    public void whatWasRefusedEverywhereHasNotRun(Means means) {
        assertEquals(new Forwarding(ONCE).after(AttemptEnd.REFUSED, means), new GiveUp(FinalAnswer.NOT_RUN));
    }

    /**
     * A first replica's answer is lost, a second refuses. The second refusal is true, but the request may have run at
     * the first: the caller must not be told that it has not.
     */
    @Test
    public void aRefusalDoesNotUndoAnEarlierRun() {
        Forwarding f = new Forwarding(IDEMPOTENT);
        assertEquals(f.after(AttemptEnd.BROKEN, ALL), new SendElsewhere());
        assertEquals(
                f.after(AttemptEnd.REFUSED, new Means(true, false, () -> true)),
                new GiveUp(FinalAnswer.OUTCOME_UNKNOWN));
        assertEquals(f.atDeadline(false), FinalAnswer.TIMED_OUT);
    }

    /** Each replica that may have run the request counts against the route's number of tries. */
    @Test
    public void runsAreBoundedByTheRoute() {
        Forwarding f = new Forwarding(RESUMABLE);
        assertEquals(f.after(AttemptEnd.SILENT, ALL), new SendElsewhere());
        assertEquals(f.after(AttemptEnd.BROKEN, ALL), new GiveUp(FinalAnswer.OUTCOME_UNKNOWN));
    }

    /** Every replica is full: the request is not carried round all of them. */
    @Test
    public void refusalsAreBounded() {
        Forwarding f = new Forwarding(ONCE);
        for (int i = 0; i < 3; i++) {
            assertEquals(f.after(AttemptEnd.REFUSED, ALL), new SendElsewhere());
        }
        assertEquals(f.after(AttemptEnd.REFUSED, ALL), new GiveUp(FinalAnswer.NOT_RUN));
    }

    /** The caller has read events. An answer of another status cannot follow, and the end must not look complete. */
    @Test
    public void anAnswerThatBeganIsBrokenOff() {
        Forwarding f = new Forwarding(STREAM);
        f.answerBegan();
        assertEquals(f.after(AttemptEnd.BROKEN, ALL), new GiveUp(FinalAnswer.BROKEN_OFF));
        assertEquals(f.atDeadline(true), FinalAnswer.BROKEN_OFF);
    }

    @Test
    public void theDeadlineTellsTheTruth() {
        assertEquals(new Forwarding(ONCE).atDeadline(false), FinalAnswer.NOT_RUN);
        assertEquals(new Forwarding(ONCE).atDeadline(true), FinalAnswer.TIMED_OUT);
    }

    /** A try whose connection could not be opened reached nobody, so it must not use up the budget of repeats. */
    @Test
    public void aTryThatNeverLeftCostsNoBudget() {
        Means noBudget = new Means(true, true, () -> {
            throw new AssertionError("the budget was asked");
        });
        assertEquals(new Forwarding(ONCE).after(AttemptEnd.NOT_SENT, noBudget), new SendElsewhere());
        assertFalse(AttemptEnd.NOT_SENT.mayHaveRun());
    }
}
