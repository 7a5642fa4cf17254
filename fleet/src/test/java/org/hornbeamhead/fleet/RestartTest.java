package org.hornbeamhead.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RestartTest {
    private static final String OUTAGE =
            "{\"outage\":true,\"slowMillis\":0,\"loseShare\":0,\"failShare\":0,\"staleReads\":false}";

    private static final String LATER = "later";

    private TestFleet fleet;
    private List<ProcessHandleBox> engines;
    private List<ProcessHandleBox> routers;

    @BeforeMethod
    public void setUp() throws Exception {
        fleet = new TestFleet();
        fleet.startPlatform("100 ms");
        engines = List.of(fleet.engine(), fleet.engine());
        for (ProcessHandleBox engine : engines) {
            engine.awaitReady();
        }
        routers = new ArrayList<>(fleet.routers(3, 2));
    }

    @AfterMethod
    public void tearDown() throws Exception {
        fleet.close();
    }

    // All entry hosts are restarted one after another, twice, under load. Callers that keep address answers no longer
    // than
    // they may see no broken stream, no refused connection and no refusal.
    @Test
    public void rollingRestartsCutNoRequest() throws Exception {
        List<CallerLoop> callers = IntStream.range(0, 6)
                .mapToObj(i -> new CallerLoop(fleet, routers, "d" + i))
                .toList();
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < routers.size(); i++) {
                ProcessHandleBox old = routers.get(i);
                ProcessHandleBox replacement = fleet.listedRouter();
                List<ProcessHandleBox> all = new ArrayList<>(routers);
                all.add(replacement);
                fleet.awaitKnown(all, all.size(), 2);
                routers.set(i, replacement);
                callers.forEach(c -> c.know(routers));
                old.terminate();
                assertEquals(old.awaitEnd(), 0);
                fleet.unlist(old);
                TestFleet.await(() -> fleet.status(replacement).path("members").findValuesAsText("status").stream()
                                .filter("ALIVE"::equals)
                                .count()
                        == 3);
            }
        }
        List<String> broken = callers.stream().flatMap(c -> c.stop().stream()).toList();
        assertEquals(broken, List.of(), "first: " + broken.stream().findFirst());
        int whole = callers.stream().mapToInt(CallerLoop::whole).sum();
        assertTrue(whole > 100, whole + " requests");
        System.out.printf("6 restarts under load: %d requests whole, 0 broken%n", whole);
    }

    // The platform's service is out, and a router is replaced. The new one takes the configuration from its peers and
    // serves.
    @Test
    public void aRouterThatStartsDuringAnOutageServesFromItsPeers() throws Exception {
        fleet.fault(fleet.store(), OUTAGE);
        routers.get(0).kill();
        fleet.unlist(routers.get(0));
        ProcessHandleBox fresh = fleet.listedRouter();
        TestFleet.await(() -> fleet.get(fresh, "/readyz").statusCode() == 200);
        TestFleet.await(() -> fleet.post(fresh, "/v1/chat/completions", TestFleet.chat("d", 4, true))
                        .statusCode()
                == 200);
    }

    // All routers are killed at once and come back as a herd. Each serves again.
    @Test
    public void aHerdOfRoutersServesAgain() throws Exception {
        for (ProcessHandleBox router : routers) {
            router.kill();
            fleet.unlist(router);
        }
        List<ProcessHandleBox> fresh = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            fresh.add(fleet.router());
        }
        for (ProcessHandleBox router : fresh) {
            fleet.list(router.awaitReady(), false);
        }
        for (ProcessHandleBox router : fresh) {
            TestFleet.await(() -> fleet.post(router, "/v1/chat/completions", TestFleet.chat("d", 4, true))
                            .statusCode()
                    == 200);
        }
    }

    // An endpoint in use leaves. The list of hosts lags, and then shows it: no request that a caller begins from there
    // on reaches it, while what was placed there before ends. Compared by request, since one that was placed before may
    // be on its way while the routers say that the endpoint leaves, and is counted there only when it arrives.
    @Test
    public void aLeavingEngineGetsNoNewWork() throws Exception {
        List<CallerLoop> callers = IntStream.range(0, 4)
                .mapToObj(i -> new CallerLoop(fleet, routers, "d" + i))
                .toList();
        TestFleet.await(() -> inUse().isPresent());
        ProcessHandleBox leaving = inUse().orElseThrow();
        fleet.listEngine(leaving, true);
        for (ProcessHandleBox router : routers) {
            TestFleet.await(() -> fleet.status(router)
                    .path("replicas")
                    .findValuesAsText("leaving")
                    .contains("true"));
        }
        callers.forEach(c -> c.name(LATER));
        long before = fleet.stats(leaving).path("accepted").asLong();
        int sent = callers.stream().mapToInt(CallerLoop::whole).sum();
        TestFleet.await(() -> callers.stream().mapToInt(CallerLoop::whole).sum() > sent + 40);
        List<String> broken = callers.stream().flatMap(c -> c.stop().stream()).toList();
        assertEquals(broken, List.of());
        JsonNode stats = fleet.stats(leaving);
        assertEquals(later(stats), 0);
        assertEquals(stats.path("running").asInt(), 0);
        long late = stats.path("accepted").asLong() - before;
        assertTrue(late <= callers.size(), late + " accepted late, with one request a caller under way");
        long elsewhere = 0;
        for (ProcessHandleBox engine : engines) {
            elsewhere += later(fleet.stats(engine));
        }
        assertTrue(elsewhere >= 40 - callers.size(), elsewhere + " accepted by the other engine");
        System.out.printf("requests placed before and accepted after the routers said that it leaves: %d%n", late);
    }

    private static long later(JsonNode stats) {
        return stats.path("acceptedByUser").path(LATER).asLong();
    }

    private Optional<ProcessHandleBox> inUse() throws IOException, InterruptedException {
        for (ProcessHandleBox engine : engines) {
            if (fleet.stats(engine).path("accepted").asLong() > 0) {
                return Optional.of(engine);
            }
        }
        return Optional.empty();
    }
}
