package org.hornbeamhead.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.prefix.PrefixHasher;
import org.hornbeamhead.core.prefix.PrefixSeed;
import org.hornbeamhead.core.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PrefixPlacementTest {
    private static final PlacementTarget TARGET = new PlacementTarget(400, false);
    private static final PrefixSeed SEED = new PrefixSeed("c", "m", "w1", "");

    private ManualClock clock;
    private ReplicaTable table;
    private PrefixPlacement placement;

    @BeforeMethod
    public void setUp() {
        clock = new ManualClock(0);
        clock.advance(100_000);
        placement = new PrefixPlacement();
        table = fleet(8);
    }

    private ReplicaTable fleet(int size) {
        ReplicaTable made = new ReplicaTable(clock);
        made.listed(IntStream.range(0, size).mapToObj(i -> endpoint(i, false)).toList());
        IntStream.range(0, size).forEach(i -> made.report("e" + i, report("inc-" + i, "w1", 0)));
        return made;
    }

    private static Endpoint endpoint(int i, boolean leaving) {
        return new Endpoint(EndpointKind.ENGINE, "p", "e" + i, "", "dc", leaving);
    }

    private static LoadReport report(String incarnation, String weights, long waiting) {
        return new LoadReport(incarnation, "m", weights, waiting, 0, false);
    }

    private static PrefixChain chain(PrefixSeed seed, String house, String dossier) {
        return PrefixHasher.chat(seed, List.of(house.repeat(500), dossier.repeat(1_000), "question"));
    }

    private PlacementChoice send(PrefixChain chain) {
        PlacementChoice choice =
                placement.choose(table, chain, TARGET, Set.of()).orElseThrow();
        table.dispatched(chain, choice);
        table.firstToken(choice, choice.firstTokenMillis());
        table.ended(choice, choice.belief().tokens());
        return choice;
    }

    // Two routers that never spoke place the same dossier on the same replica.
    @Test
    public void routersAgreeWithoutTalking() {
        ReplicaTable other = fleet(8);
        for (int i = 0; i < 50; i++) {
            PrefixChain chain = chain(SEED, "house" + i % 3, "dossier" + i);
            String here = placement
                    .choose(table, chain, TARGET, Set.of())
                    .orElseThrow()
                    .replica()
                    .address();
            String there = new PrefixPlacement()
                    .choose(other, chain, TARGET, Set.of())
                    .orElseThrow()
                    .replica()
                    .address();
            assertEquals(here, there);
        }
    }

    @Test
    public void aDossierStaysWhereItIsCached() {
        PlacementChoice first = send(chain(SEED, "house", "dossier"));
        PlacementChoice second = send(chain(SEED, "house", "dossier"));
        assertEquals(second.replica().address(), first.replica().address());
        assertTrue(second.missedTokens() < first.missedTokens() / 10);
    }

    // The engine crashed and came back cold at the same address. No entry of the old incarnation is relied upon, also
    // when a late report of the old incarnation's load comes after.
    @DataProvider
    public Object[][] changes() {
        return new Object[][] {{report("inc-new", "w1", 0)}, {report("inc-0", "w2", 0)}};
    }

    @Test
    public void nothingIsBelievedOfACrashedEngineOrOfOtherWeights() {
        for (Object[] change : changes()) {
            setUp();
            PrefixChain chain = chain(SEED, "house", "dossier");
            PlacementChoice first = send(chain);
            assertTrue(first.replica()
                            .cached()
                            .belief(chain, clock.monotonicMillis())
                            .tokens()
                    > 0);
            table.report(first.replica().address(), (LoadReport) change[0]);
            assertEquals(
                    first.replica()
                            .cached()
                            .belief(chain, clock.monotonicMillis())
                            .tokens(),
                    0);
        }
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {
            {new PrefixSeed("other", "m", "w1", "")},
            {new PrefixSeed("c", "m2", "w1", "")},
            {new PrefixSeed("c", "m", "w2", "")},
            {new PrefixSeed("c", "m", "w1", "adapter")},
            {new PrefixSeed("c\0m", "w1", "", "")},
        };
    }

    // Another customer, model, version or adapter sends the same bytes. No key and no salt is the same, so that no
    // cached
    // entry can be named, by the router or at the engine.
    @Test(dataProvider = "seeds")
    public void theSameBytesUnderAnotherSeedShareNothing(PrefixSeed seed) {
        PrefixChain mine = chain(SEED, "house", "dossier");
        PrefixChain theirs = chain(seed, "house", "dossier");
        for (int i = 0; i < mine.levels().size(); i++) {
            assertNotEquals(mine.levels().get(i).key(), theirs.levels().get(i).key());
        }
        assertNotEquals(SEED.salt(), seed.salt());
        send(mine);
        assertTrue(table.replicas().stream()
                .allMatch(
                        r -> r.cached().belief(theirs, clock.monotonicMillis()).tokens() == 0));
    }

    // A leaving, draining or ejected replica gets no new work, and the rest serves on.
    @Test
    public void replicasThatTakeNoWorkArePassedOver() {
        PrefixChain chain = chain(SEED, "house", "dossier");
        String first = send(chain).replica().address();
        table.report(first, new LoadReport("inc-" + first.substring(1), "m", "w1", 0, 0, true));
        String second = send(chain).replica().address();
        assertNotEquals(second, first);
        table.listed(IntStream.range(0, 8)
                .mapToObj(i -> endpoint(i, ("e" + i).equals(second)))
                .toList());
        String third = send(chain).replica().address();
        assertFalse(Set.of(first, second).contains(third));
        table.find(third).orElseThrow().outlier().recordConnectFailure(clock.monotonicMillis());
        assertFalse(Set.of(first, second, third).contains(send(chain).replica().address()));
    }

    // One beginning becomes hot: its replicas queue up, and more of the pool takes part until the queues meet the
    // target.
    @Test
    public void aHotPrefixWidensAndNarrowsAgain() {
        for (int i = 0; i < 400; i++) {
            PrefixChain chain = chain(SEED, "house", "dossier" + i);
            placement.choose(table, chain, TARGET, Set.of()).ifPresent(c -> table.dispatched(chain, c));
            clock.advance(5);
        }
        long used = table.replicas().stream().filter(r -> r.streams() > 0).count();
        assertTrue(used >= 6, used + " replicas used");
    }

    @Test
    public void aBeginningsWidthFollowsItsRateAndDoesNotSwing() {
        PrefixWidths widths = new PrefixWidths();
        long now = 0;
        int changes = 0;
        int last = widths.width(1, 8, 1_000, now);
        for (int i = 0; i < 4_000; i++) {
            now += i < 2_000 ? 10 : 15_000;
            widths.used(1, now);
            int width = widths.width(1, 8, 1_000, now);
            changes += width == last ? 0 : 1;
            last = width;
            if (i == 1_999) {
                assertTrue(width >= 1_000, "hot: " + width);
            }
        }
        assertEquals(last, 8);
        assertTrue(changes < 20, changes + " changes");
    }

    // Replicas in a row queue up for one hot dossier: it comes to stand on a third and a fourth.
    @Test
    public void aHotDossierSpillsWhenItsOwnReplicasQueue() {
        PrefixChain chain = chain(SEED, "house", "dossier");
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            PlacementChoice choice =
                    placement.choose(table, chain, TARGET, Set.of()).orElseThrow();
            table.dispatched(chain, choice);
            table.report(
                    choice.replica().address(),
                    report("inc-" + choice.replica().address().substring(1), "w1", 40_000));
            counts.merge(choice.replica().address(), 1, Integer::sum);
        }
        assertTrue(counts.size() > 2, counts.toString());
    }

    // All routers see the same report of one idle replica. Each counts its own dispatches on top, and the prefix
    // decides
    // first, so that they do not all run there.
    @Test
    public void routersDoNotHerdOnTheIdlestReplica() {
        Map<String, Integer> counts = new HashMap<>();
        for (int r = 0; r < 8; r++) {
            ReplicaTable seen = fleet(8);
            IntStream.range(1, 8).forEach(i -> seen.report("e" + i, report("inc-" + i, "w1", 2_000)));
            PrefixPlacement policy = new PrefixPlacement();
            for (int i = 0; i < 8; i++) {
                PrefixChain chain = chain(SEED, "house" + i, "dossier" + r + "-" + i);
                PlacementChoice choice =
                        policy.choose(seen, chain, TARGET, Set.of()).orElseThrow();
                seen.dispatched(chain, choice);
                counts.merge(choice.replica().address(), 1, Integer::sum);
            }
        }
        assertTrue(counts.get("e0") == null || counts.get("e0") < 24, counts.toString());
    }

    @Test
    public void aReturningReplicaTakesAGrowingShare() {
        Replica replica = table.find("e1").orElseThrow();
        table.report("e1", report("inc-again", "w1", 0));
        long early = IntStream.range(0, 1_000)
                .filter(k -> replica.isWarmFor(clock.monotonicMillis(), ReplicaRing.mix(k, 1)))
                .count();
        clock.advance(5_000);
        long later = IntStream.range(0, 1_000)
                .filter(k -> replica.isWarmFor(clock.monotonicMillis(), ReplicaRing.mix(k, 1)))
                .count();
        assertTrue(early > 100 && early < 300 && later > 450 && later < 750, early + " then " + later);
    }

    // A roll-out has loaded two replicas, which are cold, and the other two load now. Any prompt is still served.
    @Test
    public void coldReplicasServeAnyPromptWhenNoWarmOneTakesWork() {
        IntStream.range(0, 2).forEach(i -> table.report("e" + i, report("again-" + i, "w2", 0)));
        IntStream.range(2, 8).forEach(i -> table.report("e" + i, new LoadReport("inc-" + i, "m", "w1", 0, 0, true)));
        for (int i = 0; i < 100; i++) {
            assertTrue(placement
                    .choose(table, chain(SEED, "house", "d" + i), TARGET, Set.of())
                    .isPresent());
        }
    }

    @Test
    public void aLostReplicaMovesOnlyItsOwnKeys() {
        ReplicaRing before =
                ReplicaRing.of(IntStream.range(0, 10).mapToObj(i -> "e" + i).toList());
        ReplicaRing after =
                ReplicaRing.of(IntStream.range(1, 10).mapToObj(i -> "e" + i).toList());
        for (long key = 0; key < 2_000; key++) {
            String owner = before.walk(key, 1).get(0);
            if (!owner.equals("e0")) {
                assertEquals(after.walk(key, 1).get(0), owner);
            }
        }
    }
}
