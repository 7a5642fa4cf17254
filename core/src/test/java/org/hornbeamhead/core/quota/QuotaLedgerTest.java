package org.hornbeamhead.core.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class QuotaLedgerTest {
    private static final QuotaLimit LIMIT = new QuotaLimit(QuotaUnit.TOKENS, 1_000, 1_000, 200);
    private static final String PEER = "10.0.0.2:80";
    private static final long STARTED = 10_000;

    private QuotaLedger ledger;
    private QuotaLedger peer;

    @BeforeMethod
    public void createLedgers() {
        ledger = ledger(1);
        peer = ledger(2);
    }

    private static QuotaLedger ledger(long life) {
        return started(life, new QuotaContacts.Fleet(Set.of(PEER), 2, 0, Set.of()));
    }

    /** Returns a ledger of a router that has been running for a while. */
    private static QuotaLedger started(long life, QuotaContacts.Fleet fleet) {
        QuotaLedger l = new QuotaLedger(life, new QuotaContacts(0, 96), () -> fleet);
        run(l, 0, STARTED);
        return l;
    }

    private static void run(QuotaLedger l, long from, long to) {
        LongStream.iterate(from, now -> now <= to, now -> now + 50).forEach(l::hasChanges);
    }

    private boolean admitted(long cost, long now) {
        return ledger.admit("c", LIMIT, cost, now).admitted();
    }

    @Test
    public void costFollowsTheUnit() {
        assertEquals(LIMIT.cost(OptionalLong.of(900)), 900);
        assertEquals(LIMIT.cost(OptionalLong.empty()), 200);
        QuotaLimit requests = new QuotaLimit(QuotaUnit.REQUESTS, 1, 1, 200);
        assertEquals(requests.cost(OptionalLong.of(900)), 1);
    }

    @Test
    public void bucketFillsAtTheRateUpToTheBurst() {
        assertTrue(admitted(1_000, STARTED));
        assertFalse(admitted(500, STARTED + 499));
        assertTrue(admitted(500, STARTED + 500));
        assertTrue(admitted(1_000, STARTED + 60_000));
        assertFalse(admitted(1, STARTED + 60_000));
    }

    /** Guards against a request that is larger than the burst and is refused forever. */
    @Test
    public void requestLargerThanTheBurstPassesFromAFullBucket() {
        assertTrue(admitted(5_000, STARTED));
        assertFalse(admitted(10, STARTED + 4_000));
        assertTrue(admitted(10, STARTED + 4_020));
        assertFalse(admitted(5_000, STARTED + 4_900));
        assertTrue(admitted(5_000, STARTED + 5_100));
    }

    /** Guards against telling callers to return before the bucket has enough for them, or all at the same time. */
    @Test
    public void refusedCallersReturnOneAfterTheOther() {
        admitted(1_000, STARTED);
        List<Long> returns = IntStream.range(0, 3)
                .mapToObj(i -> ledger.admit("c", LIMIT, 100, STARTED).retryAfterMillis())
                .toList();
        assertEquals(returns, List.of(100L, 200L, 300L));
    }

    /** Guards against telling callers to return far too late since many routers serve a few of them. */
    @Test
    public void returnsAreSpacedByThePartOfTheRouter() {
        admitted(1_000, STARTED);
        peer.admit("c", LIMIT, 1_000, STARTED);
        ledger.merge(PEER, peer.takeChanges(STARTED), STARTED);
        long first = ledger.admit("c", LIMIT, 100, STARTED).retryAfterMillis();
        long second = ledger.admit("c", LIMIT, 100, STARTED).retryAfterMillis();
        assertTrue(Math.abs(second - first - 200) <= 1, first + " and " + second);
    }

    @Test
    public void requestThatDidNotRunIsGivenBack() {
        assertTrue(admitted(1_000, STARTED));
        ledger.giveBack("c", 1_000);
        assertTrue(admitted(1_000, STARTED));
    }

    /** Guards against a full bucket at each router, or after a hint that was lost, repeated or overtaken. */
    @Test
    public void useOfOtherRoutersCountsOnceInAnyOrder() {
        assertTrue(admitted(100, STARTED));
        peer.admit("c", LIMIT, 100, STARTED);
        QuotaHint first = peer.takeChanges(STARTED);
        ledger.merge(PEER, first, STARTED);
        peer.admit("c", LIMIT, 300, STARTED);
        QuotaHint second = peer.takeChanges(STARTED);
        peer.admit("c", LIMIT, 400, STARTED);
        QuotaHint third = peer.takeChanges(STARTED);
        List.of(third, third, second, first).forEach(h -> ledger.merge(PEER, h, STARTED));
        assertFalse(admitted(201, STARTED));
        assertTrue(admitted(200, STARTED));
    }

    /** Guards against a new burst for a customer whose requests come to a router that has not seen it before. */
    @Test
    public void newAccountStartsAtTheToldLevel() {
        peer.admit("c", LIMIT, 900, STARTED);
        ledger.merge(PEER, peer.summary(false, STARTED), STARTED);
        assertFalse(admitted(101, STARTED));
        assertTrue(admitted(200, STARTED + 100));
    }

    /** Guards against a new burst from a router that restarts with empty accounts. */
    @Test
    public void restartedRouterTakesOverTheToldLevel() {
        admitted(1_000, STARTED);
        QuotaContacts contacts = new QuotaContacts(STARTED, 96);
        QuotaLedger restarted =
                new QuotaLedger(3, contacts, () -> new QuotaContacts.Fleet(Set.of(PEER), 2, 0, Set.of()));
        restarted.merge(PEER, ledger.summary(false, STARTED + 100), STARTED + 100);
        assertFalse(restarted.admit("c", LIMIT, 101, STARTED + 100).admitted());
        assertTrue(restarted.admit("c", LIMIT, 100, STARTED + 100).admitted());
    }

    @DataProvider
    public Object[][] limitChanges() {
        return new Object[][] {
            {"lower", 100.0, 100},
            {"higher", 10_000.0, 500},
        };
    }

    /** Guards against a new burst from a change of the limit. */
    @Test(dataProvider = "limitChanges")
    public void levelCarriesOverToAChangedLimit(String what, double burst, long level) {
        assertTrue(admitted(500, STARTED));
        QuotaLimit changed = new QuotaLimit(QuotaUnit.TOKENS, 1_000, burst, 200);
        assertEquals(Math.round(ledger.admit("c", changed, 1, STARTED).level()), level, what);
    }

    @Test
    public void routerThatHearsNobodyUsesItsPartOnly() {
        Set<String> listed = IntStream.range(0, 9).mapToObj(i -> "r" + i).collect(Collectors.toSet());
        QuotaLedger isolated = started(4, new QuotaContacts.Fleet(listed, listed.size() + 1, 60_000, Set.of()));
        QuotaDecision d = isolated.admit("c", LIMIT, 10, STARTED);
        assertEquals(d.share(), 0.1);
        assertEquals(Math.round(d.level()), 100);
    }

    /** Guards against a whole quota at each router when none is listed any more and the store is away. */
    @Test
    public void routerThatKnowsOnlyTheSizeOfTheFleetUsesItsPart() {
        QuotaLedger isolated = started(4, new QuotaContacts.Fleet(Set.of(), 16, 60_000, Set.of()));
        assertEquals(isolated.admit("c", LIMIT, 10, STARTED).share(), 1.0 / 16);
    }

    /**
     * Guards against refusing customers within their quota at a router that stood still: it handles a request before it
     * has read the hints of that time, takes all others for lost, and throws its part of the bucket away.
     */
    @Test
    public void routerThatStoodStillKeepsItsShare() {
        ledger.merge(PEER, peer.summary(false, STARTED), STARTED);
        assertTrue(admitted(10, STARTED));
        QuotaDecision after = ledger.admit("c", LIMIT, 900, STARTED + 4_000);
        assertEquals(after.share(), 1.0);
        assertTrue(after.admitted());
    }

    /**
     * Guards against a long refusal of customers within their quota by the level of a router with a small part of it.
     */
    @Test
    public void useOfARouterWithAPartOfTheQuotaIsTakenAsItIs() {
        QuotaLedger isolated = started(6, new QuotaContacts.Fleet(Set.of(PEER), 2, 60_000, Set.of()));
        isolated.admit("c", LIMIT, 600, STARTED);
        assertTrue(admitted(100, STARTED));
        ledger.merge(PEER, isolated.summary(false, STARTED), STARTED);
        assertFalse(admitted(401, STARTED));
        assertTrue(admitted(400, STARTED));
    }

    /** Guards against losing the part of the bucket that was left to a router which did not use it. */
    @Test
    public void whatWasSetAsideAndNotUsedReturns() {
        ledger.merge(PEER, peer.summary(false, STARTED), STARTED);
        assertTrue(admitted(10, STARTED));
        run(ledger, STARTED, STARTED + 3_000);
        assertEquals(ledger.admit("c", LIMIT, 10, STARTED + 3_000).share(), 0.5);
        IntStream.range(0, 20).forEach(i -> {
            long now = STARTED + 3_050 + i * 50L;
            ledger.hasChanges(now);
            ledger.merge(PEER, peer.summary(false, now), now);
        });
        assertTrue(admitted(980, STARTED + 4_050));
    }

    /** Guards against a router of an older version, which passes on requests and tells nothing of them. */
    @Test
    public void routersThatTellNothingLeaveLess() {
        QuotaLedger newer = started(5, new QuotaContacts.Fleet(Set.of(PEER), 2, 0, Set.of("old")));
        newer.admit("c", LIMIT, 10, STARTED);
        assertEquals(newer.admit("c", LIMIT, 10, STARTED + 2_000).share(), 0.5);
    }

    /** Guards against hints whose size grows with the number of customers. */
    @Test
    public void summariesOfManyCustomersAreDividedAmongHints() {
        IntStream.range(0, 100).forEach(i -> ledger.admit("c" + i, LIMIT, 10, STARTED));
        long told = IntStream.range(0, 4)
                .mapToObj(i -> ledger.summary(false, STARTED))
                .flatMap(h -> h.uses().stream())
                .map(QuotaHint.Use::customer)
                .distinct()
                .count();
        assertEquals(told, 100);
    }

    @Test
    public void hintSurvivesItsEncoding() {
        QuotaHint hint = new QuotaHint(7, 3, true, true, List.of(new QuotaHint.Use(8, 1L << 40, -2.5f)));
        assertEquals(QuotaHint.decode(hint.encode()).get(), hint);
        assertTrue(QuotaHint.decode(new byte[] {1, 2}).isEmpty());
    }

    @DataProvider
    public Object[][] costs() {
        return new Object[][] {{0}, {400}, {1_000}, {5_000}};
    }

    /** Guards against a decision that counts or books something when it is only looked at. */
    @Test(dataProvider = "costs")
    public void peekDecidesAsAdmitAndChangesNothing(long cost) {
        for (long now = STARTED; now < STARTED + 3_000; now += 290) {
            QuotaDecision peeked = ledger.peek("c", LIMIT, cost, now);
            assertEquals(ledger.peek("c", LIMIT, cost, now), peeked);
            assertEquals(ledger.admit("c", LIMIT, cost, now), peeked);
        }
    }
}
