package org.hornbeamhead.gateway.resume;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.resume.StreamKey;
import org.hornbeamhead.core.resume.StreamOrigin;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which origins of streams are found after routers have ended, over a network that loses datagrams. */
public class OriginExchangeTest {
    private static final int STREAMS = 200;
    private static final long LATENCY_MILLIS = 2;
    private static final long AT_ONCE_MILLIS = 250;
    private static final SoftwareVersion V1 = SoftwareVersion.named("v1");

    private final Map<String, OriginExchange> running = new HashMap<>();
    private final Set<String> listed = new HashSet<>();
    private ManualTimers timers;
    private ManualClock clock;
    private Random random;
    private double loss;

    @BeforeMethod
    public void setUp() {
        running.clear();
        listed.clear();
        clock = new ManualClock(10_000);
        timers = new ManualTimers(clock);
        random = new Random(7);
        loss = 0;
    }

    private void start(String address) {
        listed.add(address);
        running.put(
                address,
                new OriginExchange(
                        clock,
                        timers,
                        address,
                        () -> listed.stream().filter(a -> !a.equals(address)).toList(),
                        (to, datagram) -> send(address, to, datagram)));
    }

    private void send(String from, String to, byte[] datagram) {
        if (random.nextDouble() >= loss) {
            timers.schedule(LATENCY_MILLIS, () -> Optional.ofNullable(running.get(to))
                    .ifPresent(r -> r.receive(from, datagram)));
        }
    }

    private static StreamKey key(int stream) {
        return StreamKey.of("s", "c", "r" + stream);
    }

    private static String address(int router) {
        return "10.0.0." + router + ":80";
    }

    private Optional<SoftwareVersion> find(int router, int stream) {
        List<Optional<SoftwareVersion>> found = new ArrayList<>();
        running.get(address(router)).find(key(stream), r -> found.add(r.software()));
        timers.advance(AT_ONCE_MILLIS);
        assertEquals(found.size(), 1, "answered once and at once");
        return found.get(0);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"none", 7, Set.of(), 0.0, 1.0},
            {"the first router has ended", 7, Set.of(0), 0.0, 1.0},
            {"it and two others have ended", 7, Set.of(0, 1, 2), 0.0, 1.0},
            {"half of the fleet has ended", 8, Set.of(0, 1, 2, 3), 0.0, 0.8},
            {"three in ten datagrams are lost", 7, Set.of(0), 0.3, 0.8},
            {"a large fleet, the first router has ended", 95, Set.of(0), 0.0, 1.0},
            {"two routers, one has ended", 2, Set.of(0), 0.0, 1.0},
        };
    }

    /** Guards against streams that cannot be resumed because the router that began them has ended. */
    @Test(dataProvider = "faults")
    public void originIsFoundAtOtherRouters(
            String description, int routers, Set<Integer> ended, double lost, double minShare) {
        loss = lost;
        IntStream.range(0, routers).forEach(r -> start(address(r)));
        IntStream.range(0, STREAMS)
                .forEach(i -> running.get(address(0)).announce(List.of(new StreamOrigin(key(i), V1))));
        timers.advance(LATENCY_MILLIS);
        ended.forEach(r -> running.remove(address(r)));
        long found = IntStream.range(0, STREAMS)
                .filter(i -> find(routers - 1, i).isPresent())
                .count();
        assertTrue(found >= minShare * STREAMS, description + ": " + found + " of " + STREAMS);
    }

    /** Guards against origins that are lost because routers were restarted one after another. */
    @Test
    public void originOfStreamThatIsResumedOutlivesRestartsInTurn() {
        IntStream.range(0, 7).forEach(r -> start(address(r)));
        running.get(address(0)).announce(List.of(new StreamOrigin(key(1), V1)));
        for (int i = 0; i < 14; i++) {
            timers.advance(1_000);
            start(address(i % 7));
            assertEquals(find((i + 3) % 7, 1), Optional.of(V1), "after " + (i + 1) + " restarts");
        }
    }

    /** Guards against a guess, and against a caller that waits, when nobody knows the stream. */
    @Test
    public void unknownStreamIsReportedOnceByWhoeverIsAsked() {
        IntStream.range(0, 7).forEach(r -> start(address(r)));
        assertEquals(find(1, 5), Optional.empty());
        running.keySet().removeIf(a -> !a.equals(address(1)));
        assertEquals(find(1, 5), Optional.empty());
        listed.clear();
        assertEquals(find(1, 5), Optional.empty());
    }

    /** Guards against asking other routers once for each of many callers that name the same stream. */
    @Test
    public void searchesForOneStreamAreJoined() {
        IntStream.range(0, 7).forEach(r -> start(address(r)));
        running.get(address(0)).announce(List.of(new StreamOrigin(key(1), V1)));
        List<Optional<SoftwareVersion>> found = new ArrayList<>();
        running.remove(address(0));
        IntStream.range(0, 3).forEach(i -> running.get(address(6)).find(key(1), r -> found.add(r.software())));
        timers.advance(AT_ONCE_MILLIS);
        assertEquals(found, List.of(Optional.of(V1), Optional.of(V1), Optional.of(V1)));
    }
}
