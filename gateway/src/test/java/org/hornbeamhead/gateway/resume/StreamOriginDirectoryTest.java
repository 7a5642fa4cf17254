package org.hornbeamhead.gateway.resume;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.hornbeamhead.core.resume.SoftwareHistory;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.resume.StreamKey;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.hornbeamhead.daemon.Metrics;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which version a router takes for the one that began a stream while its list may be out of date. */
public class StreamOriginDirectoryTest {
    private static final String SERVICE = "lm";
    private static final long WINDOW_MILLIS = 17_000;
    private static final long LATENCY_MILLIS = 1;
    private static final long STORE_TIMEOUT_MILLIS = 400;
    private static final long FRESH_MILLIS = 2_600;
    private static final long ANSWERED_MILLIS = 700;
    private static final SoftwareVersion OLD = SoftwareVersion.named("s1");
    private static final SoftwareVersion NEW = SoftwareVersion.named("s2");

    private ManualClock clock;
    private ManualTimers timers;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    /** The versions that the store lists. */
    private final List<SoftwareVersion> listed = new ArrayList<>();

    private final Set<String> withoutStore = new HashSet<>();
    private final Set<String> withoutRouters = new HashSet<>();

    /** A router of the fleet. */
    private final class Node {
        private final String address;
        private final SoftwareHistory history = new SoftwareHistory(0);
        private final Set<SoftwareVersion> known = new HashSet<>();
        private final OriginExchange exchange;
        private final StreamOriginDirectory directory;
        private long confirmedAt;

        Node(String address, List<String> all) {
            this.address = address;
            exchange = new OriginExchange(
                    clock,
                    timers,
                    address,
                    () -> all.stream().filter(a -> !a.equals(address)).toList(),
                    this::send);
            directory = new StreamOriginDirectory(
                    clock,
                    history,
                    exchange,
                    () -> clock.monotonicMillis() - confirmedAt < FRESH_MILLIS,
                    this::confirm,
                    () -> confirmedAt,
                    new Metrics());
        }

        private void send(String to, byte[] datagram) {
            boolean lost = withoutRouters.contains(address) || withoutRouters.contains(to);
            if (!lost) {
                timers.schedule(LATENCY_MILLIS, () -> nodes.get(to).exchange.receive(address, datagram));
            }
        }

        void readList() {
            listed.stream().filter(known::add).forEach(v -> history.replicaListed(SERVICE, v));
            List<SoftwareVersion> gone =
                    known.stream().filter(v -> !listed.contains(v)).toList();
            gone.forEach(v -> history.replicaRemoved(SERVICE, v, clock.monotonicMillis()));
            gone.forEach(known::remove);
            confirmedAt = clock.monotonicMillis();
        }

        private void confirm(Consumer<Boolean> listener) {
            boolean answered = !withoutStore.contains(address);
            timers.schedule(answered ? 4 : STORE_TIMEOUT_MILLIS, () -> {
                if (answered) {
                    readList();
                }
                listener.accept(answered);
            });
        }
    }

    @BeforeMethod
    public void setUp() {
        clock = new ManualClock(0);
        timers = new ManualTimers(clock);
        nodes.clear();
        listed.clear();
        withoutStore.clear();
        withoutRouters.clear();
    }

    private void startFleet(int routers) {
        List<String> all = IntStream.range(0, routers).mapToObj(i -> "r" + i).toList();
        all.forEach(a -> nodes.put(a, new Node(a, all)));
        listed.add(OLD);
        nodes.values().forEach(Node::readList);
        timers.advance(2 * WINDOW_MILLIS);
        nodes.values().forEach(Node::readList);
    }

    private void readLists(String... outOfStep) {
        nodes.values().stream()
                .filter(n -> !List.of(outOfStep).contains(n.address))
                .forEach(Node::readList);
    }

    private static StreamOriginDirectory.Stream stream(Optional<String> attempt) {
        return new StreamOriginDirectory.Stream(
                SERVICE, attempt.map(id -> StreamKey.of(SERVICE, "customer", id)), WINDOW_MILLIS);
    }

    private Optional<SoftwareVersion> find(String router, StreamOriginDirectory.Stream stream) {
        List<Optional<SoftwareVersion>> found = new ArrayList<>();
        nodes.get(router).directory.find(stream, found::add);
        timers.advance(ANSWERED_MILLIS);
        assertEquals(found.size(), 1, "answered once, and soon");
        return found.get(0);
    }

    /** What the router that is asked reaches. */
    private enum Reach {
        ALL(false, false),
        STORE_ONLY(false, true),
        ROUTERS_ONLY(true, false),
        NOTHING(true, true);

        private final boolean storeLost;
        private final boolean routersLost;

        Reach(boolean storeLost, boolean routersLost) {
            this.storeLost = storeLost;
            this.routersLost = routersLost;
        }
    }

    @DataProvider
    public Object[][] views() {
        return Stream.of(Reach.values())
                .flatMap(reach -> Stream.of(2, 7, 95).flatMap(routers -> Stream.of(0L, 400L, 1_500L, 2_500L, 3_000L)
                        .flatMap(
                                age -> Stream.of(true, false).map(named -> new Object[] {reach, routers, age, named}))))
                .toArray(Object[][]::new);
    }

    /** Guards against taking the version of a list that is out of date for the only one there is. */
    @Test(dataProvider = "views")
    public void streamOfANewVersionIsNotTakenForOneOfTheOldVersion(
            Reach reach, int routers, long listMillisOld, boolean named) {
        startFleet(routers);
        String outOfStep = "r" + (routers - 1);
        if (reach.storeLost) {
            withoutStore.add(outOfStep);
        }
        if (reach.routersLost) {
            withoutRouters.add(outOfStep);
        }
        listed.add(NEW);
        readLists(outOfStep);
        timers.advance(listMillisOld);
        nodes.get("r0").directory.streamBegan(stream(Optional.of("attempt")), NEW);
        timers.advance(LATENCY_MILLIS);
        Optional<SoftwareVersion> expected = named && !reach.routersLost ? Optional.of(NEW) : Optional.empty();
        assertEquals(find(outOfStep, stream(Optional.of("attempt").filter(a -> named))), expected);
    }

    /** Guards against refusing streams that nobody remembers while the store proves that there is one version. */
    @Test(dataProvider = "views")
    public void streamIsFoundByTheOnlyVersionWhileTheStoreAnswers(
            Reach reach, int routers, long listMillisOld, boolean named) {
        startFleet(routers);
        String asked = "r" + (routers - 1);
        if (reach.storeLost) {
            withoutStore.add(asked);
        }
        nodes.get("r0").directory.streamBegan(stream(Optional.of("attempt")), OLD);
        timers.advance(listMillisOld);
        withoutRouters.add("r0");
        Optional<SoftwareVersion> expected = reach.storeLost ? Optional.empty() : Optional.of(OLD);
        assertEquals(find(asked, stream(Optional.of("attempt").filter(a -> named))), expected);
    }

    @DataProvider
    public Object[][] resumers() {
        return new Object[][] {{"r0", true}, {"r3", false}};
    }

    /** Guards against refusing, while the store is away, the streams that began before it went. */
    @Test(dataProvider = "resumers")
    public void streamFromBeforeAnOutageIsResumedDuringIt(String resumer, boolean firstRouterRuns) {
        startFleet(7);
        nodes.get("r0").directory.streamBegan(stream(Optional.of("attempt")), OLD);
        withoutStore.addAll(nodes.keySet());
        timers.advance(FRESH_MILLIS);
        nodes.values().forEach(n -> n.directory.checkList());
        if (!firstRouterRuns) {
            withoutRouters.add("r0");
        }
        assertEquals(find(resumer, stream(Optional.of("attempt"))), Optional.of(OLD));
    }

    @DataProvider
    public Object[][] outages() {
        return Stream.of(2, 7, 95)
                .flatMap(routers -> Stream.of(Reach.ROUTERS_ONLY, Reach.NOTHING)
                        .flatMap(reach -> Stream.of(3_000L, 6_000L, 12_000L, 20_000L)
                                .map(outage -> new Object[] {routers, reach, outage})))
                .toArray(Object[][]::new);
    }

    /**
     * Guards against taking a stream for one of the only version that is listed, if a router began it on a version that
     * the others have not listed for longer than they account for, and its announcement was lost.
     */
    @Test(dataProvider = "outages")
    public void streamOfARemovedVersionIsFoundAfterTheOutageInWhichItBegan(
            int routers, Reach reach, long outageMillis) {
        startFleet(routers);
        String outOfStep = "r" + (routers - 1);
        withoutStore.add(outOfStep);
        if (reach.routersLost) {
            withoutRouters.add(outOfStep);
        }
        listed.set(0, NEW);
        readLists(outOfStep);
        timers.advance(outageMillis);
        nodes.get(outOfStep).directory.streamBegan(stream(Optional.of("attempt")), OLD);
        withoutStore.clear();
        withoutRouters.clear();
        nodes.values().forEach(Node::readList);
        nodes.get(outOfStep).directory.checkList();
        timers.advance(WINDOW_MILLIS - 5_000 - ANSWERED_MILLIS);
        nodes.values().forEach(Node::readList);
        assertEquals(find("r0", stream(Optional.of("attempt"))), Optional.of(OLD));
    }

    /** Guards against a lookup without an end, since the service comes to have one version while it lasts. */
    @Test
    public void lookupEndsThoughAVersionIsForgottenMeanwhile() {
        startFleet(7);
        listed.add(NEW);
        readLists();
        listed.remove(OLD);
        readLists();
        timers.advance(WINDOW_MILLIS - 100);
        withoutRouters.add("r6");
        assertEquals(find("r6", stream(Optional.of("attempt"))), Optional.empty());
    }

    @DataProvider
    public Object[][] missedRemovals() {
        return new Object[][] {{1_000L}, {5_000L}, {10_000L}, {16_000L}};
    }

    /** Guards against forgetting a version that is gone while a router that is cut off still sends to its replicas. */
    @Test(dataProvider = "missedRemovals", groups = "known-red")
    public void streamOfARouterThatMissedARemovalIsNotTakenForOneOfTheRemainingVersion(long millisAfterRemoval) {
        startFleet(7);
        listed.add(NEW);
        readLists();
        timers.advance(1_000);
        withoutStore.add("r0");
        withoutRouters.add("r0");
        nodes.values().stream()
                .filter(n -> !n.address.equals("r0"))
                .forEach(n -> n.history.replicaRemoved(SERVICE, OLD, clock.monotonicMillis()));
        timers.advance(millisAfterRemoval);
        readLists("r0");
        nodes.get("r0").directory.streamBegan(stream(Optional.of("attempt")), OLD);
        timers.advance(8_000);
        readLists("r0");
        assertEquals(find("r3", stream(Optional.of("attempt"))), Optional.empty());
    }
}
