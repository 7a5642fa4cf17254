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
        table = replicaTable(8);
    }

    private ReplicaTable replicaTable(int size) {
        ReplicaTable replicas = new ReplicaTable(clock);
        replicas.setEndpoints(
                IntStream.range(0, size).mapToObj(i -> endpoint(i, false)).toList());
        IntStream.range(0, size).forEach(i -> replicas.applyReport("e" + i, report("inc-" + i, "w1", 0)));
        return replicas;
    }

    private static Endpoint endpoint(int i, boolean leaving) {
        return new Endpoint(EndpointKind.ENGINE, "p", "e" + i, "", "dc", leaving);
    }

    private static LoadReport report(String incarnation, String weights, long waiting) {
        return new LoadReport(incarnation, "v1", "m", weights, waiting, 0, false);
    }

    private static PrefixChain chain(PrefixSeed seed, String house, String dossier) {
        return PrefixHasher.chat(seed, List.of(house.repeat(500), dossier.repeat(1_000), "question"));
    }

    private PlacementChoice send(PrefixChain chain) {
        PlacementChoice choice =
                placement.choose(table, chain, TARGET, Set.of()).orElseThrow();
        table.recordDispatch(chain, choice);
        table.recordFirstToken(choice, choice.firstTokenMillis());
        table.recordCompletion(choice, choice.cacheEstimate().tokens());
        return choice;
    }

    // Routers that do not communicate must place the same dossier on the same replica.
    @Test
    public void independentRoutersChooseTheSameReplica() {
        ReplicaTable other = replicaTable(8);
        for (int i = 0; i < 50; i++) {
            PrefixChain chain = chain(SEED, "house" + i % 3, "dossier" + i);
            String chosen = placement
                    .choose(table, chain, TARGET, Set.of())
                    .orElseThrow()
                    .replica()
                    .address();
            String chosenByOther = new PrefixPlacement()
                    .choose(other, chain, TARGET, Set.of())
                    .orElseThrow()
                    .replica()
                    .address();
            assertEquals(chosen, chosenByOther);
        }
    }

    @Test
    public void repeatedDossierIsPlacedOnTheReplicaThatCachedIt() {
        PlacementChoice first = send(chain(SEED, "house", "dossier"));
        PlacementChoice second = send(chain(SEED, "house", "dossier"));
        assertEquals(second.replica().address(), first.replica().address());
        assertTrue(second.uncachedTokens() < first.uncachedTokens() / 10);
    }

    // An engine that restarts at the same address, or loads other weights, has an empty cache. Estimates of the earlier
    // incarnation or weights must not be used for it.
    @DataProvider
    public Object[][] changedReports() {
        return new Object[][] {{report("inc-new", "w1", 0)}, {report("inc-0", "w2", 0)}};
    }

    @Test
    public void cacheEstimateIsResetByNewIncarnationOrWeights() {
        for (Object[] change : changedReports()) {
            setUp();
            PrefixChain chain = chain(SEED, "house", "dossier");
            PlacementChoice first = send(chain);
            assertTrue(first.replica()
                            .cachedPrefixes()
                            .estimate(chain, clock.monotonicMillis())
                            .tokens()
                    > 0);
            table.applyReport(first.replica().address(), (LoadReport) change[0]);
            assertEquals(
                    first.replica()
                            .cachedPrefixes()
                            .estimate(chain, clock.monotonicMillis())
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

    // Another customer, model, version or adapter sends the same bytes. All keys and the salt must differ, so that no
    // cached entry can be shared, in the router or in the engine.
    @Test(dataProvider = "seeds")
    public void samePromptWithAnotherSeedSharesNoCacheEntries(PrefixSeed seed) {
        PrefixChain chain = chain(SEED, "house", "dossier");
        PrefixChain otherChain = chain(seed, "house", "dossier");
        for (int i = 0; i < chain.levels().size(); i++) {
            assertNotEquals(
                    chain.levels().get(i).key(), otherChain.levels().get(i).key());
        }
        assertNotEquals(SEED.salt(), seed.salt());
        send(chain);
        assertTrue(table.replicas().stream()
                .allMatch(r -> r.cachedPrefixes()
                                .estimate(otherChain, clock.monotonicMillis())
                                .tokens()
                        == 0));
    }

    // A leaving, draining or ejected replica must not receive new work while others are available.
    @Test
    public void leavingDrainingAndEjectedReplicasAreSkipped() {
        PrefixChain chain = chain(SEED, "house", "dossier");
        String first = send(chain).replica().address();
        table.applyReport(first, new LoadReport("inc-" + first.substring(1), "v1", "m", "w1", 0, 0, true));
        String second = send(chain).replica().address();
        assertNotEquals(second, first);
        table.setEndpoints(IntStream.range(0, 8)
                .mapToObj(i -> endpoint(i, ("e" + i).equals(second)))
                .toList());
        String third = send(chain).replica().address();
        assertFalse(Set.of(first, second).contains(third));
        table.find(third).orElseThrow().outlier().recordConnectFailure(clock.monotonicMillis());
        assertFalse(Set.of(first, second, third).contains(send(chain).replica().address()));
    }

    // Requests queue at the replicas of a frequently used shared prefix. More replicas of the pool must be used until
    // the queues meet the target.
    @Test
    public void frequentPrefixSpreadsOverMoreReplicas() {
        for (int i = 0; i < 400; i++) {
            PrefixChain chain = chain(SEED, "house", "dossier" + i);
            placement.choose(table, chain, TARGET, Set.of()).ifPresent(c -> table.recordDispatch(chain, c));
            clock.advance(5);
        }
        long usedReplicas =
                table.replicas().stream().filter(r -> r.streams() > 0).count();
        assertTrue(usedReplicas >= 6, usedReplicas + " replicas used");
    }

    @Test
    public void replicaCountFollowsRequestRateWithoutOscillating() {
        PrefixReplicaCounts replicaCounts = new PrefixReplicaCounts();
        long now = 0;
        int changes = 0;
        int last = replicaCounts.replicaCount(1, 8, 1_000, now);
        for (int i = 0; i < 4_000; i++) {
            now += i < 2_000 ? 10 : 15_000;
            replicaCounts.recordUse(1, now);
            int count = replicaCounts.replicaCount(1, 8, 1_000, now);
            changes += count == last ? 0 : 1;
            last = count;
            if (i == 1_999) {
                assertTrue(count >= 1_000, "replica count at a high rate: " + count);
            }
        }
        assertEquals(last, 8);
        assertTrue(changes < 20, changes + " changes");
    }

    // Requests queue at the preferred replicas of a frequently used dossier. It must also be placed on a third and a
    // fourth replica.
    @Test
    public void frequentDossierSpillsWhenItsPreferredReplicasQueue() {
        PrefixChain chain = chain(SEED, "house", "dossier");
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            PlacementChoice choice =
                    placement.choose(table, chain, TARGET, Set.of()).orElseThrow();
            table.recordDispatch(chain, choice);
            table.applyReport(
                    choice.replica().address(),
                    report("inc-" + choice.replica().address().substring(1), "w1", 40_000));
            counts.merge(choice.replica().address(), 1, Integer::sum);
        }
        assertTrue(counts.size() > 2, counts.toString());
    }

    // All routers receive the same reports, with one idle replica. They must not all choose it: the prefix takes
    // precedence over the load, and each router adds its own dispatches to the reported load.
    @Test
    public void routersDoNotAllChooseTheIdleReplica() {
        Map<String, Integer> counts = new HashMap<>();
        for (int r = 0; r < 8; r++) {
            ReplicaTable replicas = replicaTable(8);
            IntStream.range(1, 8).forEach(i -> replicas.applyReport("e" + i, report("inc-" + i, "w1", 2_000)));
            PrefixPlacement policy = new PrefixPlacement();
            for (int i = 0; i < 8; i++) {
                PrefixChain chain = chain(SEED, "house" + i, "dossier" + r + "-" + i);
                PlacementChoice choice =
                        policy.choose(replicas, chain, TARGET, Set.of()).orElseThrow();
                replicas.recordDispatch(chain, choice);
                counts.merge(choice.replica().address(), 1, Integer::sum);
            }
        }
        assertTrue(counts.get("e0") == null || counts.get("e0") < 24, counts.toString());
    }

    @Test
    public void restartedReplicaAcceptsGrowingShareWhileWarmingUp() {
        Replica replica = table.find("e1").orElseThrow();
        table.applyReport("e1", report("inc-again", "w1", 0));
        long early = IntStream.range(0, 1_000)
                .filter(k -> replica.isWarmFor(clock.monotonicMillis(), ReplicaRing.mix(k, 1)))
                .count();
        clock.advance(5_000);
        long later = IntStream.range(0, 1_000)
                .filter(k -> replica.isWarmFor(clock.monotonicMillis(), ReplicaRing.mix(k, 1)))
                .count();
        assertTrue(early > 100 && early < 300 && later > 450 && later < 750, early + " then " + later);
    }

    // During a roll-out two replicas have just loaded new weights and are cold, and the other six are draining. Any
    // prompt must still be placed.
    @Test
    public void coldReplicasAcceptAnyPromptWhenNoWarmReplicaIsAvailable() {
        IntStream.range(0, 2).forEach(i -> table.applyReport("e" + i, report("again-" + i, "w2", 0)));
        IntStream.range(2, 8)
                .forEach(i -> table.applyReport("e" + i, new LoadReport("inc-" + i, "v1", "m", "w1", 0, 0, true)));
        for (int i = 0; i < 100; i++) {
            assertTrue(placement
                    .choose(table, chain(SEED, "house", "d" + i), TARGET, Set.of())
                    .isPresent());
        }
    }

    @Test
    public void removingReplicaMovesOnlyItsKeys() {
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
