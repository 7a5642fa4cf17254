package org.hornbeamhead.soak.promise;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Acknowledged;
import org.hornbeamhead.soak.history.History.Answered;
import org.hornbeamhead.soak.history.History.Arrived;
import org.hornbeamhead.soak.history.History.Asked;
import org.hornbeamhead.soak.history.History.Change;
import org.hornbeamhead.soak.history.History.Disturbed;
import org.hornbeamhead.soak.history.History.Ended;
import org.hornbeamhead.soak.history.History.Listed;
import org.hornbeamhead.soak.history.History.Ordered;
import org.hornbeamhead.soak.history.History.Part;
import org.hornbeamhead.soak.history.History.Uncaught;
import org.hornbeamhead.soak.history.RequestKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Each check goes red on a history that breaks its promise, and stays green on the like that does not. */
public class PromisesTest {
    private final Promises promises = new Promises(Set.of("alone"));

    private static Asked asked(String id, RequestKind kind, long at) {
        return new Asked(id, kind, "key", "router0", 1, at);
    }

    private static Arrived ran(String id, String service, long at) {
        return new Arrived(id, "replica1", service, "many", "", 0, true, at);
    }

    private static Answered answered(String id, int status, String body, long at) {
        return new Answered(id, status, body, true, at);
    }

    /** One request that went well. */
    private static History served(String id, RequestKind kind, long at) {
        return new History()
                .add(asked(id, kind, at))
                .add(ran(id, "plain", at + 5))
                .add(answered(id, 200, kind.answer(id), at + 10));
    }

    private static History stopped(Answered answer, Disturbed... others) {
        History h = new History()
                .add(asked("i", RequestKind.ONCE, 10_500))
                .add(ran("i", "plain", 10_510))
                .add(answer)
                .add(new Disturbed("ROUTER_STOPPED", "router0", true, 10_000, 15_000));
        List.of(others).forEach(h::add);
        return h;
    }

    private static Arrived keptUnder(String salt, long weights, String customer) {
        return new Arrived("i", "replica1", "lm", customer, salt, weights, true, 10);
    }

    private static History repeats(int count) {
        History h = new History();
        IntStream.range(0, count).forEach(i -> h.add(asked("i" + i, RequestKind.SAFE, 100))
                .add(ran("i" + i, "plain", 110))
                .add(ran("i" + i, "plain", 120)));
        return h;
    }

    /** Each life of two routers, which are killed every three seconds, makes some repeats. */
    private static History repeatsOfFiveLives(int each) {
        History h = new History();
        IntStream.range(0, 10).forEach(life -> IntStream.range(0, each).forEach(i -> {
            String id = life + "-" + i;
            long at = 100 + life / 2 * 3_000L;
            h.add(new Asked(id, RequestKind.SAFE, "key", "router" + life % 2, 1 + life / 2, at))
                    .add(ran(id, "plain", at + 5))
                    .add(ran(id, "plain", at + 10));
        }));
        return h;
    }

    /** Repeats with many requests in the window before the one that ends with them, and none in those that follow. */
    private static History repeatsLongAfterRequests(int count) {
        History h = new History();
        IntStream.range(0, 200)
                .forEach(i -> h.add(asked("i" + i, RequestKind.SAFE, 100)).add(ran("i" + i, "plain", 110)));
        IntStream.range(0, count).forEach(i -> h.add(ran("i" + i, "plain", 12_000)));
        return h;
    }

    private static History lateRequests(int served, int failed) {
        History h = new History().add(new Disturbed("ROUTER_KILLED", "router1", false, 0, 1_000));
        IntStream.range(0, served + failed).forEach(i -> h.add(asked("i" + i, RequestKind.SAFE, 20_000))
                .add(answered("i" + i, i < served ? 200 : 503, RequestKind.SAFE.answer("i" + i), 20_010)));
        return h;
    }

    /** A replica states a limit of two a second from 10 s on and gets requests at even intervals. */
    private static History limited(long fromMillis, int count, long intervalMillis) {
        History h = new History().add(new History.Limited("replica1", 2, 10_000, 30_000));
        IntStream.range(0, count)
                .mapToLong(i -> fromMillis + i * intervalMillis)
                .forEach(at -> h.add(asked("i" + at, RequestKind.SAFE, at)).add(ran("i" + at, "plain", at)));
        return h;
    }

    /** A replica answers that it leaves, and gets another request much later. */
    private static History leaves(long laterMillis) {
        return served("i", RequestKind.SAFE, 1_000)
                .add(new History.Announced("replica1", "i"))
                .add(asked("j", RequestKind.SAFE, laterMillis))
                .add(ran("j", "plain", laterMillis + 5));
    }

    /** A replica asks for a pause of 3 s at 1 s and gets requests at even intervals from half a second later. */
    private static History paused(int count, long intervalMillis) {
        History h = new History()
                .add(asked("p", RequestKind.SAFE, 990))
                .add(ran("p", "plain", 995))
                .add(new History.Paused("replica1", "p", 3_000, 1_000));
        IntStream.range(0, count)
                .mapToLong(i -> 1_600 + i * intervalMillis)
                .forEach(at -> h.add(asked("i" + at, RequestKind.SAFE, at)).add(ran("i" + at, "plain", at)));
        return h;
    }

    /** A request ends three replicas, and is sent more often after all routers know it. */
    private static History ends(int late) {
        History h = new History();
        IntStream.range(0, 3 + late).forEach(i -> {
            long at = i < 3 ? 1_000 + i : 6_000 + i;
            h.add(asked("i" + i, RequestKind.SAFE, at)).add(new Ended("/safe/ends", "i" + i, "replica" + i, at + 60));
        });
        return h;
    }

    /** Requests with a part of a prompt end six replicas, and are sent more often after all routers know it. */
    private static History partEnds(int late) {
        History h = new History();
        IntStream.range(0, 6 + late).forEach(i -> {
            long at = i < 6 ? 1_000 + i : 6_000 + i;
            h.add(asked("e" + i, RequestKind.RESUME, at)).add(new Ended("bad2", "e" + i, "replica" + i, at + 60));
        });
        return h;
    }

    /**
     * After a part of a prompt has ended six replicas, streams without it are sent, of which some are refused for it.
     */
    private static History soundBesidePart(int served, int refused) {
        History h = partEnds(0);
        IntStream.range(0, served + refused).forEach(i -> h.add(asked("i" + i, RequestKind.RESUME, 9_000))
                .add(answered(
                        "i" + i,
                        i < served ? 200 : 503,
                        i < served ? RequestKind.RESUME.answer("i" + i) : "replicas ended under requests",
                        9_010)));
        return h;
    }

    /** The promise, a history that breaks it, and one like it that does not. */
    @DataProvider
    public Object[][] histories() {
        return Stream.of(
                        answerHistories(),
                        silenceHistories(),
                        EndlessHistories.rows(),
                        LeaderHistories.rows(),
                        resumeHistories(),
                        stateHistories(),
                        loadHistories(),
                        availabilityHistories(),
                        pathHistories())
                .flatMap(Arrays::stream)
                .toArray(Object[][]::new);
    }

    private static Object[][] answerHistories() {
        Answered cut = new Answered("i", 0, "", false, 11_000);
        History twice = served("i", RequestKind.ONCE, 10).add(ran("i", "plain", 40));
        History keptTwice = served("i", RequestKind.SAFE, 10).add(ran("i", "plain", 40));
        return new Object[][] {
            {
                "own answers",
                served("i", RequestKind.SAFE, 10).add(answered("i", 200, "answer to j", 20)),
                served("i", RequestKind.SAFE, 10)
            },
            {
                "own answers",
                served("i", RequestKind.STREAM, 10)
                        .add(new Answered("i", 200, RequestKind.event("i", 1) + RequestKind.event("i", 3), false, 20)),
                served("i", RequestKind.STREAM, 10).add(new Answered("i", 200, RequestKind.event("i", 1), false, 20))
            },
            {"at most once", twice, keptTwice},
            {
                "true refusals",
                served("i", RequestKind.ONCE, 10).add(answered("i", 503, "", 20)),
                served("i", RequestKind.ONCE, 10).add(answered("i", 502, "", 20))
            },
            {"nothing unasked", new History().add(ran("j", "plain", 5)), served("i", RequestKind.SAFE, 1)},
            {
                "planned stops cut nothing",
                stopped(cut),
                stopped(cut, new Disturbed("STORE_BUSY", History.STORE, false, 9_000, 10_000))
            },
        };
    }

    /** A stream that is cut a second after its replica has fallen silent, or until a time, beside another fault. */
    private static History silent(long cutAt, Disturbed... others) {
        History h = new History()
                .add(asked("i", RequestKind.STREAM, 10_000))
                .add(ran("i", "lm", 10_010))
                .add(new Answered("i", 200, RequestKind.event("i", 1), false, cutAt))
                .add(new Disturbed("REPLICA_FROZEN", "replica1", true, 10_020, 13_500));
        List.of(others).forEach(h::add);
        return h;
    }

    private static Disturbed near(String kind, String subject) {
        return new Disturbed(kind, subject, false, 10_500, 12_000);
    }

    private static Object[][] silenceHistories() {
        History cut = silent(11_200);
        History refused = new History()
                .add(asked("i", RequestKind.STREAM, 10_000))
                .add(ran("i", "lm", 10_010))
                .add(new Answered("i", 0, "", false, 11_200))
                .add(new Disturbed("REPLICA_FROZEN", "replica1", true, 10_020, 13_500));
        return new Object[][] {
            {"silence cuts nothing", cut, silent(13_000)},
            {"silence cuts nothing", refused, served("i", RequestKind.STREAM, 10_000)},
            {"silence cuts nothing", cut, silent(11_200, near("REPLICA_RESET", "replica1"))},
            {"silence cuts nothing", cut, silent(11_200, near(Disturbed.REPLICA_ENDED, "replica1"))},
            {"silence cuts nothing", cut, silent(11_200).add(new Acknowledged(Change.LEAVING, "replica1", 9_000))},
            {"silence cuts nothing", cut, silent(11_200).add(new History.Announced("replica1", "j"))},
            {
                "silence cuts nothing",
                silent(11_200, near("ROUTER_KILLED", "router1")),
                silent(11_200, near("ROUTER_KILLED", "router0"))
            },
            {
                "silence cuts nothing",
                silent(11_200, near("STORE_SILENT", History.STORE)),
                silent(11_200, near("ALL_KILLED", History.ALL_ROUTERS))
            },
            {
                "silence cuts nothing",
                silent(11_200, near("REPLICA_RESET", "replica2")),
                silent(11_200, near("PATH_REFUSED", "router0"))
            },
        };
    }

    private static Part part(String id, String first, int last, String... writers) {
        String body = IntStream.range(0, writers.length)
                .mapToObj(i -> RequestKind.event(id, last + 1 + i, writers[i]))
                .collect(Collectors.joining());
        return new Part(id, first, last, writers.length > 0 ? 200 : 503, body, false, 20_000, true);
    }

    /** Streams that begin at one of two replicas of a version, and of which some are resumed. */
    private static History resumed(int goingOn, int refused) {
        History h = new History().add(new Listed("replica1", "v1", 0)).add(new Listed("replica2", "v1", 0));
        IntStream.range(0, goingOn + refused).forEach(i -> {
            h.add(asked("i" + i, RequestKind.RESUME, 20_000)).add(part("i" + i, "", 0, "v1"));
            h.add(asked("r" + i, RequestKind.RESUME, 20_000))
                    .add(i < goingOn ? part("r" + i, "i" + i, 1, "v1") : part("r" + i, "i" + i, 1));
        });
        return h;
    }

    private static History resumedOnceMore(Part part) {
        return resumed(1, 0).add(asked(part.id(), RequestKind.RESUME, 20_000)).add(part);
    }

    private static History refusedOnceMore(boolean named) {
        Part refused = new Part("s", "i0", 1, 503, "", false, 20_000, named);
        return resumed(0, 11).add(asked("s", RequestKind.RESUME, 20_000)).add(refused);
    }

    private static Object[][] resumeHistories() {
        return new Object[][] {
            {
                "own parts",
                resumedOnceMore(new Part("s", "i0", 2, 200, RequestKind.event("s", 4, "v1"), false, 20_000, true)),
                resumedOnceMore(new Part("s", "i0", 2, 200, RequestKind.event("s", 3, "v1"), false, 20_000, true))
            },
            {
                "one software a stream",
                resumedOnceMore(part("s", "i0", 2, "v2")),
                resumedOnceMore(part("s", "i0", 2, "v1"))
            },
            {
                "one software a stream",
                served("i", RequestKind.STREAM, 10)
                        .add(new Answered(
                                "i",
                                200,
                                RequestKind.event("i", 1, "v1") + RequestKind.event("i", 2, "v2"),
                                false,
                                20)),
                served("i", RequestKind.STREAM, 10)
                        .add(new Answered(
                                "i", 200, RequestKind.event("i", 1, "v1") + RequestKind.event("i", 2, "v1"), false, 20))
            },
            {"resumed streams go on", resumed(5, 7), resumed(6, 6)},
            {
                "resumed streams go on",
                resumed(0, 12),
                resumed(0, 12).add(new Acknowledged(Change.LEAVING, "replica2", 9_000))
            },
            {"resumed streams go on", resumed(0, 12), resumed(0, 11)},
            {"resumed streams go on", refusedOnceMore(true), refusedOnceMore(false)},
            {
                "true refusals",
                resumed(0, 1).add(ran("r0", "lm", 20_000)),
                resumed(1, 0).add(ran("r0", "lm", 20_000))
            },
        };
    }

    private static Object[][] stateHistories() {
        Acknowledged keyGone = new Acknowledged(Change.KEY_GONE, "key", 1_000);
        Acknowledged moved = new Acknowledged(Change.ROUTE_MOVED, "plain2", 1_000);
        Acknowledged leaving = new Acknowledged(Change.LEAVING, "replica1", 1_000);
        Disturbed storeAway = new Disturbed("STORE_BUSY", History.STORE, false, 900, 8_000);
        return new Object[][] {
            {
                "keys",
                served("i", RequestKind.SAFE, 9_000).add(keyGone),
                served("i", RequestKind.SAFE, 9_000).add(keyGone).add(storeAway)
            },
            {
                "keys",
                new History()
                        .add(new Asked("i", RequestKind.SAFE, "forged", "router0", 1, 1))
                        .add(ran("i", "plain", 2)),
                new History().add(new Asked("i", RequestKind.SAFE, "forged", "router0", 1, 1))
            },
            {
                "configuration",
                served("i", RequestKind.MOVED, 9_000).add(moved),
                served("i", RequestKind.MOVED, 3_000).add(moved)
            },
            {
                "never back",
                served("i", RequestKind.MOVED, 3_000)
                        .add(moved)
                        .add(asked("j", RequestKind.MOVED, 2_000))
                        .add(ran("j", "plain2", 2_005)),
                served("i", RequestKind.MOVED, 2_100)
                        .add(moved)
                        .add(asked("j", RequestKind.MOVED, 2_000))
                        .add(ran("j", "plain2", 2_005))
            },
            {
                "leaving replicas",
                served("i", RequestKind.SAFE, 9_000).add(leaving),
                served("i", RequestKind.SAFE, 3_000).add(leaving)
            },
        };
    }

    private static Object[][] loadHistories() {
        return new Object[][] {
            {
                "no uncaught errors",
                served("i", RequestKind.SAFE, 10).add(new Uncaught("router0", "nothing caught an error in a timer")),
                served("i", RequestKind.SAFE, 10)
            },
            {
                "one holder",
                new History().add(new Ordered("r1", "a", 7, true, 10)).add(new Ordered("r2", "b", 7, true, 20)),
                new History().add(new Ordered("r1", "a", 7, true, 10)).add(new Ordered("r2", "a", 7, true, 20))
            },
            {
                "one holder",
                new History().add(new Ordered("r1", "a", 7, true, 10)).add(new Ordered("r1", "b", 6, true, 20)),
                new History().add(new Ordered("r1", "a", 7, true, 10)).add(new Ordered("r1", "b", 6, false, 20))
            },
            {
                "isolation",
                served("i", RequestKind.STREAM, 1)
                        .add(keptUnder("s", 1, "many"))
                        .add(keptUnder("s", 1, "alone")),
                served("i", RequestKind.STREAM, 1)
                        .add(keptUnder("s", 1, "many"))
                        .add(keptUnder("t", 1, "alone"))
            },
            {
                "isolation",
                served("i", RequestKind.STREAM, 1)
                        .add(keptUnder("s", 1, "many"))
                        .add(keptUnder("s", 2, "many")),
                served("i", RequestKind.STREAM, 1)
                        .add(keptUnder("s", 1, "many"))
                        .add(keptUnder("t", 2, "many"))
            },
            {"budget", repeats(70), repeats(50)},
            {"budget", repeatsOfFiveLives(8), repeatsOfFiveLives(7)},
            {"budget", repeatsLongAfterRequests(51), repeatsLongAfterRequests(50)},
            {"request limits", limited(10_000, 100, 200), limited(10_000, 40, 500)},
            {"request limits", limited(10_100, 300, 20), limited(4_000, 305, 20)},
            {
                "request limits",
                limited(10_000, 100, 200).add(new Disturbed("STORE_BUSY", History.STORE, false, 9_000, 40_000)),
                limited(10_000, 100, 200).add(new Disturbed("ROUTER_FROZEN", "router0", false, 9_000, 40_000))
            },
            {"requests that end replicas", ends(4), ends(3)},
            {"requests that end replicas", partEnds(4), partEnds(3)},
            {"sound requests beside those that end replicas", soundBesidePart(10, 20), soundBesidePart(20, 10)},
            {
                "requests that end replicas",
                ends(4).add(new Disturbed("ALL_KILLED", History.ALL_ROUTERS, false, 4_000, 5_000)),
                ends(4).add(new Disturbed("ALL_KILLED", History.ALL_ROUTERS, false, 4_000, 5_000))
                        .add(new Disturbed("STORE_BUSY", History.STORE, false, 1_000, 5_000))
            },
            {"service back", lateRequests(80, 20), lateRequests(95, 5)},
        };
    }

    /** Twenty requests each at a cut router and at another, of which some are served at the cut one. */
    private static History cut(int served) {
        History h = new History().add(new Disturbed("PATH_HANGS", "router0", false, 10_000, 30_000));
        IntStream.range(0, 20).forEach(i -> {
            h.add(asked("c" + i, RequestKind.SAFE, 14_000 + i))
                    .add(answered("c" + i, i < served ? 200 : 503, "", 15_000));
            h.add(new Asked("o" + i, RequestKind.SAFE, "key", "router1", 1, 14_000 + i))
                    .add(answered("o" + i, 200, "", 15_000));
        });
        return h;
    }

    private static History falls(int count) {
        History h = new History().add(new History.Brittle("lm", 6, 1_000, 9_000));
        IntStream.range(0, count).forEach(i -> h.add(new History.Fallen("replica" + i, "lm", 5_000 + i)));
        return h;
    }

    private static Object[][] pathHistories() {
        return new Object[][] {
            {"served without a path", cut(5), cut(14)},
            {
                "served without a path",
                cut(5),
                cut(5).add(new Disturbed("ROUTER_FROZEN", "router0", false, 13_000, 16_000))
            },
            {"brittle replicas", falls(3), falls(2)},
        };
    }

    private static Object[][] availabilityHistories() {
        return new Object[][] {
            {"announced leaves", leaves(3_100), leaves(2_900)},
            {
                "announced leaves",
                leaves(4_000).add(new Disturbed("STORE_SILENT", History.STORE, false, 0, 9_000)),
                leaves(4_000).add(new Disturbed("ROUTER_FROZEN", "router0", false, 2_000, 3_000))
            },
            {
                "announced leaves",
                leaves(4_000).add(new Disturbed("REPLICA_GREY", "replica1", false, 0, 9_000)),
                leaves(4_000).add(new Disturbed("REPLICA_DELAYED", "replica1", false, 2_000, 3_000))
            },
            {"pauses", paused(3, 500), paused(2, 500)},
            {"pauses", paused(3, 1_100), paused(4, 1_300)},
            {
                "pauses",
                paused(3, 500).add(new Disturbed("STORE_BUSY", History.STORE, false, 0, 9_000)),
                paused(3, 500).add(new Disturbed("ROUTER_KILLED", "router0", false, 2_000, 3_000))
            },
        };
    }

    @Test(dataProvider = "histories")
    public void goesRedOnABrokenHistoryAlone(String promise, History broken, History kept) {
        Set<String> named = promises.check(broken).stream().map(Breach::promise).collect(Collectors.toSet());
        assertTrue(named.contains(promise), named.toString());
        assertEquals(
                promises.check(kept).stream()
                        .filter(b -> b.promise().equals(promise))
                        .toList(),
                List.of());
    }

    /** A promise whose check never goes red proves nothing. */
    @Test
    public void everyPromiseHasABrokenHistory() {
        Set<Object> played = Arrays.stream(histories()).map(row -> row[0]).collect(Collectors.toSet());
        assertEquals(played, promises.names());
    }
}
