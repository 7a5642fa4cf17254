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
    private static final CacheLinks.Store STORE =
            new CacheLinks.Store("store", "z", CacheLinks.tokensPerMilli(230_000, TOKEN_BYTES));
    private static final CacheLinks LINKS =
            new CacheLinks(CacheLinks.tokensPerMilli(530_000, TOKEN_BYTES), List.of(STORE));

    private final Map<String, EngineLoad> loads = new HashMap<>();
    private EngineChooser chooser;

    @BeforeMethod
    public void begin() {
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

    private EngineCandidate candidate(String id, boolean replaced, boolean steered) {
        return new EngineCandidate(id, "z", 1, true, loads.get(id), MEMORY, SLOTS, replaced, Long.MAX_VALUE, steered);
    }

    private List<EngineCandidate> candidates() {
        return loads.keySet().stream()
                .sorted()
                .map(id -> candidate(id, false, false))
                .toList();
    }

    private EngineChoice choose(Prompt prompt, List<EngineCandidate> from) {
        return chooser.choose(prompt, c -> 0, from, LINKS, NOW).orElseThrow();
    }

    /** The same beginning goes to the same engine from every router, without a word between them. */
    @Test
    public void allRoutersFindTheSameHome() {
        for (int d = 0; d < 50; d++) {
            String first = choose(prompt("d" + d), candidates()).engine().id();
            begin();
            assertEquals(choose(prompt("d" + d), candidates()).engine().id(), first);
        }
    }

    @Test
    public void beginningsAreSpreadOverEngines() {
        long used = IntStream.range(0, 200)
                .mapToObj(d -> choose(prompt("d" + d), candidates()).engine().id())
                .distinct()
                .count();
        assertEquals(used, 8);
    }

    @DataProvider
    public Object[][] hindrances() {
        return new Object[][] {{"a long wait"}, {"full memory"}, {"a change of weights"}, {"replaced weights"}};
    }

    /** The home of a beginning is busy, full, or about to change its weights: another engine takes the request. */
    @Test(dataProvider = "hindrances")
    public void goesElsewhereWhenTheHomeWouldBeLate(String what) {
        String home = choose(prompt("d"), candidates()).engine().id();
        EngineLoad load = loads.get(home);
        if (what.equals("a long wait")) {
            load.hinted(600, NOW);
        } else if (what.equals("full memory")) {
            load.hinted("other", 12, 0, 200_000, NOW);
        }
        List<EngineCandidate> from = candidates().stream()
                .map(c -> c.id().equals(home)
                        ? candidate(home, what.equals("replaced weights"), what.equals("a change of weights"))
                        : c)
                .toList();
        assertNotEquals(choose(prompt("d"), from).engine().id(), home, what);
    }

    /**
     * After a change of weights one engine is done first, and every router sends to it. Each must see what the others
     * send within the time of a datagram, or streams there stand still for seconds.
     */
    @Test
    public void hintsOfOtherRoutersCount() {
        EngineChoice calm = choose(prompt("d"), candidates());
        loads.get(calm.engine().id()).hinted(calm.readMillis() * 5, NOW);
        EngineChoice after = choose(prompt("d"), candidates());
        assertNotEquals(after.engine().id(), calm.engine().id());
    }

    /** Reading a beginning again that another engine has just read is dearer than a short wait at that engine. */
    @Test
    public void prefersAShortWaitToReadingAgain() {
        EngineChoice first = choose(prompt("d"), candidates());
        chooser.sent(first.beginning(), first.engine().id(), 0, LINKS, 0, NOW);
        loads.get(first.engine().id()).hinted(first.readMillis(), NOW);
        assertEquals(
                choose(prompt("d"), candidates()).engine().id(), first.engine().id());
    }

    /**
     * New weights were named some seconds ago, and the only engine left has the old ones and a queue. A request sent
     * there would begin after the old ones are out of use: it is not sent.
     */
    @Test
    public void doesNotSendWhatWouldBeginTooLate() {
        EngineLoad load = loads.get("e0");
        EngineCandidate old = new EngineCandidate("e0", "z", 1, true, load, MEMORY, SLOTS, true, 900, false);
        assertTrue(chooser.choose(prompt("d"), c -> 0, List.of(old), LINKS, NOW).isPresent());
        load.hinted(500, NOW);
        assertTrue(chooser.choose(prompt("d"), c -> 0, List.of(old), LINKS, NOW).isEmpty());
    }

    /**
     * All routers restart together and know nothing. What was in use before lies in the store: it is fetched, not read.
     * It is saved once more all the same, by the first request that any router sends, since some of it may not be
     * there.
     */
    @Test
    public void aRestartFetchesWhatWasInUse() {
        assertEquals(choose(prompt("d"), candidates()).why(), "home read");
        chooser = new EngineChooser(true);
        EngineChoice first = choose(prompt("d"), candidates());
        assertEquals(first.why(), "home cached");
        assertTrue(first.save());
        chooser.sent(first.beginning(), first.engine().id(), 0, LINKS, 0, NOW);
        assertFalse(choose(prompt("d"), candidates()).save());
        EngineCandidate newer =
                new EngineCandidate("e9", "z", 2, false, new EngineLoad(), MEMORY, SLOTS, false, Long.MAX_VALUE, false);
        assertEquals(choose(prompt("d"), List.of(newer)).why(), "home read");
    }

    /**
     * Everybody comes back at once after a restart, and most prompts are fetched over the store's one link. Its queue
     * counts, so that a request rather waits a little at the engine that holds its beginning.
     */
    @Test
    public void theStoresLinkIsAQueueToo() {
        chooser = new EngineChooser(true);
        EngineChoice calm = choose(prompt("d"), candidates());
        loads.get(calm.engine().id()).hinted(150, NOW);
        assertNotEquals(
                choose(prompt("d"), candidates()).engine().id(), calm.engine().id());
        IntStream.range(0, 20).forEach(i -> chooser.sent(i, "e1", 0, LINKS, 25, NOW));
        assertEquals(
                choose(prompt("d"), candidates()).engine().id(), calm.engine().id());
    }

    /**
     * New weights are named every two seconds. An engine that read a beginning has changed its weights since, and
     * dropped it. Another that still has the old ones must not be told to fetch it there: it would find nothing and
     * read again.
     */
    @Test
    public void fetchesOnlyFromEnginesThatStillHoldIt() {
        EngineCandidate reader = candidate("e0", false, false);
        EngineCandidate other = candidate("e1", false, false);
        EngineChoice first = choose(prompt("d"), List.of(reader));
        chooser.sent(first.beginning(), "e0", 0, LINKS, 0, NOW - 1_000);
        loads.get("e0").hinted(2_000, NOW);
        assertEquals(choose(prompt("d"), List.of(reader, other)).fetchFrom(), Optional.of("e0"));
        EngineCandidate changed =
                new EngineCandidate("e0", "z", 2, true, loads.get("e0"), MEMORY, SLOTS, false, Long.MAX_VALUE, false);
        assertEquals(choose(prompt("d"), List.of(changed, other)).fetchFrom(), Optional.empty());
        EngineCandidate changing = candidate("e0", false, true);
        assertEquals(choose(prompt("d"), List.of(changing, other)).fetchFrom(), Optional.empty());
    }

    /**
     * An engine with a queue has been sent a beginning a second ago and has not come to it. Another engine that fetched
     * it now would find nothing and read it again.
     */
    @Test
    public void fetchesOnlyWhatHasBeenRead() {
        EngineChoice first = choose(prompt("d"), List.of(candidate("e0", false, false)));
        loads.get("e0").hinted(2_000, NOW);
        chooser.sent(first.beginning(), "e0", 1_500, LINKS, 0, NOW - 1_000);
        EngineChoice elsewhere = choose(prompt("d"), List.of(candidate("e1", false, false)));
        assertEquals(elsewhere.why(), "home read");
    }

    /**
     * New weights were named long ago, and of forty engines one has them; on the others nothing may begin any more. A
     * caller whose beginning belongs to eight of those is served all the same, by the one.
     */
    @Test
    public void findsTheOneEngineWhereARequestMayBegin() {
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
     * New weights are named, and the engines that long answers usually go to change theirs first. Callers of long
     * answers are served by the engines that stay.
     */
    @Test
    public void longAnswersLeaveEnginesThatChangeTheirWeights() {
        Prompt query = new Prompt("m", List.of(new PromptPart("house", 119), new PromptPart("own", 628)), 49);
        Set<String> leaving = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            List<EngineCandidate> from = loads.keySet().stream()
                    .sorted()
                    .map(id -> candidate(id, false, leaving.contains(id)))
                    .toList();
            assertTrue(leaving.add(choose(query, from).engine().id()), "again an engine that leaves: " + leaving);
        }
    }

    /**
     * All routers restart together, and callers of short prompts wait behind hundreds of fetches of long ones, at the
     * store's one link. What an engine reads faster than it comes over the link is read.
     */
    @Test
    public void readsWhatIsSoonerReadThanFetched() {
        chooser = new EngineChooser(true);
        Prompt query = new Prompt(
                "m", List.of(new PromptPart("house", 119), new PromptPart("q", 79), new PromptPart("own", 628)), 49);
        IntStream.range(0, 20).forEach(i -> chooser.sent(i, "e1", 0, LINKS, 25, NOW));
        List<EngineCandidate> two = List.of(candidate("e0", false, false), candidate("e1", false, false));
        String first = choose(query, two).engine().id();
        loads.get(first).hinted(200, NOW);
        EngineChoice away = choose(query, two);
        assertEquals(away.why(), "away read");
        assertFalse(away.askStore());
    }

    /** The engine that should have read a beginning and saved it was full: the next one must do both. */
    @Test
    public void aRefusedRequestHasSavedNothing() {
        EngineChoice first = choose(prompt("d"), candidates());
        chooser.sent(first.beginning(), first.engine().id(), 0, LINKS, 0, NOW);
        chooser.refused(first.beginning(), first.engine().id());
        assertTrue(choose(prompt("d"), candidates()).save());
    }

    @Test
    public void savesABeginningOnce() {
        EngineChoice first = choose(prompt("d"), candidates());
        chooser.sent(first.beginning(), first.engine().id(), 0, LINKS, 0, NOW);
        assertFalse(choose(prompt("d"), candidates()).save());
    }

    @Test
    public void predictsWhatReadingTakes() {
        assertTrue(ReadingCost.readMillis(0, 6_300) > 140);
        assertTrue(ReadingCost.readMillis(0, 39_600) > 1_000);
        assertEquals(LINKS.engineMillis(6_300, "z", "z"), 17.6, 0.1);
        assertEquals(STORE.millis(6_300, "z"), 37.9, 0.1);
        assertEquals(STORE.millis(6_300, "other"), 73.8, 0.1);
        assertTrue(choose(prompt("d"), candidates()).predictedMillis() > 200);
    }
}
