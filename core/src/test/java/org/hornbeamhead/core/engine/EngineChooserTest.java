package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EngineChooserTest {
    private static final long NOW = 100_000;
    private static final long MEMORY = 94_000;
    private static final int SLOTS = 64;
    private static final long TOKEN_BYTES = 163_840;
    private static final KvTransferLinks.Store STORE =
            new KvTransferLinks.Store("store", "z", KvTransferLinks.tokensPerMilli(230_000, TOKEN_BYTES));
    private static final KvTransferLinks LINKS =
            new KvTransferLinks(KvTransferLinks.tokensPerMilli(530_000, TOKEN_BYTES), List.of(STORE));

    private final Map<String, EngineLoad> loads = new HashMap<>();
    private EngineChooser chooser;

    @BeforeMethod
    public void setUp() {
        chooser = new EngineChooser(false);
        loads.clear();
        IntStream.range(0, 8).forEach(i -> loads.put("e" + i, new EngineLoad()));
    }

    private static Prompt prompt(String dossier) {
        return new Prompt(
                "m",
                List.of(new PromptPart("house", 2_520), new PromptPart(dossier, 3_780), new PromptPart("own", 2_890)),
                9);
    }

    private EngineCandidate candidate(String id, boolean superseded, boolean weightChangePending) {
        return new EngineCandidate(
                id, "z", 1, true, loads.get(id), MEMORY, SLOTS, superseded, Long.MAX_VALUE, weightChangePending);
    }

    private List<EngineCandidate> candidates() {
        return loads.keySet().stream()
                .sorted()
                .map(id -> candidate(id, false, false))
                .toList();
    }

    private EngineChoice choose(Prompt prompt, List<EngineCandidate> candidates) {
        return chooser.choose(prompt, c -> 0, candidates, LINKS, NOW).orElseThrow();
    }

    /** Every router must choose the same engine for the same prefix without communication. */
    @Test
    public void allRoutersChooseTheSameHome() {
        for (int d = 0; d < 50; d++) {
            String first = choose(prompt("d" + d), candidates()).engine().id();
            setUp();
            assertEquals(choose(prompt("d" + d), candidates()).engine().id(), first);
        }
    }

    @Test
    public void prefixesAreDistributedOverEngines() {
        long usedEngines = IntStream.range(0, 200)
                .mapToObj(d -> choose(prompt("d" + d), candidates()).engine().id())
                .distinct()
                .count();
        assertEquals(usedEngines, 8);
    }

    @DataProvider
    public Object[][] hindrances() {
        return new Object[][] {{"long wait"}, {"full memory"}, {"pending weight change"}, {"superseded weights"}};
    }

    /**
     * The home of a prefix has a long queue, full memory, superseded weights or a pending weight change: another engine
     * must be chosen.
     */
    @Test(dataProvider = "hindrances")
    public void avoidsHomeThatWouldBeLate(String hindrance) {
        String home = choose(prompt("d"), candidates()).engine().id();
        EngineLoad load = loads.get(home);
        if (hindrance.equals("long wait")) {
            load.recordHint(600, NOW);
        } else if (hindrance.equals("full memory")) {
            load.recordHint("other", 12, 0, 200_000, NOW);
        }
        List<EngineCandidate> candidates = candidates().stream()
                .map(c -> c.id().equals(home)
                        ? candidate(
                                home, hindrance.equals("superseded weights"), hindrance.equals("pending weight change"))
                        : c)
                .toList();
        assertNotEquals(choose(prompt("d"), candidates).engine().id(), home, hindrance);
    }

    /**
     * After a change of weights one engine is done first and every router sends to it. Each router must count what the
     * others send as soon as their datagram arrives; otherwise streams there stall for seconds.
     */
    @Test
    public void hintsOfOtherRoutersAddToWait() {
        EngineChoice first = choose(prompt("d"), candidates());
        loads.get(first.engine().id()).recordHint(first.prefillMillis() * 5, NOW);
        EngineChoice after = choose(prompt("d"), candidates());
        assertNotEquals(after.engine().id(), first.engine().id());
    }

    /** Prefilling a prefix that another engine has just prefilled must cost more than a short wait at that engine. */
    @Test
    public void prefersShortWaitToRepeatedPrefill() {
        EngineChoice first = choose(prompt("d"), candidates());
        chooser.recordSent(first.prefixHash(), first.engine().id(), 0, LINKS, 0, NOW);
        loads.get(first.engine().id()).recordHint(first.prefillMillis(), NOW);
        assertEquals(
                choose(prompt("d"), candidates()).engine().id(), first.engine().id());
    }

    /**
     * New weights were named some seconds ago, and the only remaining engine has the old ones and a queue. A request
     * sent there would start after the old weights expire, so it must not be sent.
     */
    @Test
    public void choosesNoEngineWhenRequestWouldStartTooLate() {
        EngineLoad load = loads.get("e0");
        EngineCandidate old = new EngineCandidate("e0", "z", 1, true, load, MEMORY, SLOTS, true, 900, false);
        assertTrue(chooser.choose(prompt("d"), c -> 0, List.of(old), LINKS, NOW).isPresent());
        load.recordHint(500, NOW);
        assertTrue(chooser.choose(prompt("d"), c -> 0, List.of(old), LINKS, NOW).isEmpty());
    }

    /**
     * After all routers restart, none knows which prefixes are cached. Prefixes in use before are in the store and must
     * be fetched, not prefilled. The first request of any router saves each of them once more, since some may be
     * missing.
     */
    @Test
    public void restartFetchesPrefixesInUse() {
        assertEquals(choose(prompt("d"), candidates()).reason(), "home read");
        chooser = new EngineChooser(true);
        EngineChoice first = choose(prompt("d"), candidates());
        assertEquals(first.reason(), "home cached");
        assertTrue(first.saveToStore());
        chooser.recordSent(first.prefixHash(), first.engine().id(), 0, LINKS, 0, NOW);
        assertFalse(choose(prompt("d"), candidates()).saveToStore());
        EngineCandidate newer =
                new EngineCandidate("e9", "z", 2, false, new EngineLoad(), MEMORY, SLOTS, false, Long.MAX_VALUE, false);
        assertEquals(choose(prompt("d"), List.of(newer)).reason(), "home read");
    }

    /**
     * After a restart most prompts are fetched over the store's one link. The queue of that link must count, so that a
     * request prefers a short wait at the engine that holds its prefix.
     */
    @Test
    public void waitForStoreLinkAddsToCost() {
        chooser = new EngineChooser(true);
        EngineChoice first = choose(prompt("d"), candidates());
        loads.get(first.engine().id()).recordHint(150, NOW);
        assertNotEquals(
                choose(prompt("d"), candidates()).engine().id(), first.engine().id());
        IntStream.range(0, 20).forEach(i -> chooser.recordSent(i, "e1", 0, LINKS, 25, NOW));
        assertEquals(
                choose(prompt("d"), candidates()).engine().id(), first.engine().id());
    }

    /**
     * New weights are named every two seconds, so an engine that prefilled a prefix may have changed its weights since
     * and dropped it. An engine that still has the old weights must not be told to fetch the prefix from there: it
     * would find nothing and prefill it again.
     */
    @Test
    public void fetchesOnlyFromEnginesThatHoldThePrefix() {
        EngineCandidate reader = candidate("e0", false, false);
        EngineCandidate other = candidate("e1", false, false);
        EngineChoice first = choose(prompt("d"), List.of(reader));
        chooser.recordSent(first.prefixHash(), "e0", 0, LINKS, 0, NOW - 1_000);
        loads.get("e0").recordHint(2_000, NOW);
        assertEquals(choose(prompt("d"), List.of(reader, other)).fetchFrom(), Optional.of("e0"));
        EngineCandidate changed =
                new EngineCandidate("e0", "z", 2, true, loads.get("e0"), MEMORY, SLOTS, false, Long.MAX_VALUE, false);
        assertEquals(choose(prompt("d"), List.of(changed, other)).fetchFrom(), Optional.empty());
        EngineCandidate changing = candidate("e0", false, true);
        assertEquals(choose(prompt("d"), List.of(changing, other)).fetchFrom(), Optional.empty());
    }

    /**
     * A prefix was sent to an engine with a queue a second ago and is not prefilled yet. Another engine that fetched it
     * now would find nothing and prefill it again.
     */
    @Test
    public void fetchesOnlyPrefilledPrefixes() {
        EngineChoice first = choose(prompt("d"), List.of(candidate("e0", false, false)));
        loads.get("e0").recordHint(2_000, NOW);
        chooser.recordSent(first.prefixHash(), "e0", 1_500, LINKS, 0, NOW - 1_000);
        EngineChoice elsewhere = choose(prompt("d"), List.of(candidate("e1", false, false)));
        assertEquals(elsewhere.reason(), "home read");
    }

    /**
     * New weights were named long ago, one of forty engines has them, and no request may start on the others. A caller
     * whose prefix is assigned to eight of those must still be served, by the one.
     */
    @Test
    public void findsTheOnlyEngineWhereARequestMayStart() {
        EngineCandidate newest =
                new EngineCandidate("new", "z", 2, true, new EngineLoad(), MEMORY, SLOTS, false, Long.MAX_VALUE, false);
        List<EngineCandidate> all = Stream.concat(
                        Stream.of(newest),
                        IntStream.range(0, 39)
                                .mapToObj(i -> new EngineCandidate(
                                        "old" + i, "z", 1, true, new EngineLoad(), MEMORY, SLOTS, true, 10, false)))
                .toList();
        IntStream.range(0, 50)
                .forEach(d -> assertEquals(choose(prompt("d" + d), all).engine().id(), "new"));
    }

    /**
     * New weights are named, and the engines that long answers usually go to change theirs first. Long answers must be
     * served by the remaining engines.
     */
    @Test
    public void longAnswersAvoidEnginesThatChangeWeights() {
        Prompt query = new Prompt("m", List.of(new PromptPart("house", 119), new PromptPart("own", 628)), 49);
        Set<String> leaving = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            List<EngineCandidate> candidates = loads.keySet().stream()
                    .sorted()
                    .map(id -> candidate(id, false, leaving.contains(id)))
                    .toList();
            assertTrue(
                    leaving.add(choose(query, candidates).engine().id()),
                    "chosen although its weights change: " + leaving);
        }
    }

    /**
     * After a restart of all routers, short prompts would wait behind hundreds of fetches of long ones on the store's
     * one link. A prefix that an engine prefills faster than the link delivers it must be prefilled.
     */
    @Test
    public void prefillsWhatIsSlowerToFetch() {
        chooser = new EngineChooser(true);
        Prompt query = new Prompt(
                "m", List.of(new PromptPart("house", 119), new PromptPart("q", 79), new PromptPart("own", 628)), 49);
        IntStream.range(0, 20).forEach(i -> chooser.recordSent(i, "e1", 0, LINKS, 25, NOW));
        List<EngineCandidate> two = List.of(candidate("e0", false, false), candidate("e1", false, false));
        String first = choose(query, two).engine().id();
        loads.get(first).recordHint(200, NOW);
        EngineChoice away = choose(query, two);
        assertEquals(away.reason(), "away read");
        assertFalse(away.queryStore());
    }

    /** Guards against prefilling short prefixes again that an engine has evicted earlier than expected. */
    @Test
    public void looksForShortPrefixesInAnIdleStore() {
        Prompt query = new Prompt(
                "m", List.of(new PromptPart("house", 119), new PromptPart("q", 79), new PromptPart("own", 628)), 49);
        assertTrue(choose(query, candidates()).queryStore());
        IntStream.range(0, 20).forEach(i -> chooser.recordSent(i, "e1", 0, LINKS, 25, NOW));
        assertFalse(choose(query, candidates()).queryStore());
    }

    /**
     * The engine that should have prefilled and saved a prefix was full and rejected the request: the next request must
     * save it.
     */
    @Test
    public void rejectedRequestSavesNothing() {
        EngineChoice first = choose(prompt("d"), candidates());
        chooser.recordSent(first.prefixHash(), first.engine().id(), 0, LINKS, 0, NOW);
        chooser.recordRejected(first.prefixHash(), first.engine().id());
        assertTrue(choose(prompt("d"), candidates()).saveToStore());
    }

    @Test
    public void savesPrefixOnce() {
        EngineChoice first = choose(prompt("d"), candidates());
        chooser.recordSent(first.prefixHash(), first.engine().id(), 0, LINKS, 0, NOW);
        assertFalse(choose(prompt("d"), candidates()).saveToStore());
    }

    @Test
    public void predictsPrefillAndTransferTimes() {
        assertTrue(PrefillCost.prefillMillis(0, 6_300) > 140);
        assertTrue(PrefillCost.prefillMillis(0, 39_600) > 1_000);
        assertEquals(LINKS.engineTransferMillis(6_300, "z", "z"), 17.6, 0.1);
        assertEquals(STORE.transferMillis(6_300, "z"), 37.9, 0.1);
        assertEquals(STORE.transferMillis(6_300, "other"), 73.8, 0.1);
        assertTrue(choose(prompt("d"), candidates()).predictedMillis() > 200);
    }
}
