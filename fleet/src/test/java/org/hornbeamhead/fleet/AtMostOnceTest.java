package org.hornbeamhead.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import org.hornbeamhead.core.claim.ClaimIds;
import org.hornbeamhead.daemon.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class AtMostOnceTest {
    private static final String BID = "/v1/services/app/bids";
    private static final String STORE_FINE =
            "{\"outage\":false,\"slowMillis\":0,\"loseShare\":0,\"failShare\":0,\"staleReads\":false}";

    private final SplittableRandom random = new SplittableRandom(17);
    private TestFleet fleet;
    private List<ProcessHandleBox> routers;
    private ProcessHandleBox service;

    @BeforeMethod
    public void setUp() throws Exception {
        fleet = new TestFleet();
        fleet.startPlatform("0 ms");
        service = fleet.service().awaitReady();
        routers = fleet.routers(3, 0);
        TestFleet.await(
                () -> fleet.post(routers.get(0), "/v1/services/app/lots", "{}").statusCode() == 200);
    }

    @AfterMethod
    public void tearDown() throws Exception {
        fleet.close();
    }

    private UUID id() {
        return ClaimIds.next(System.currentTimeMillis(), random);
    }

    private CompletableFuture<HttpResponse<String>> bid(ProcessHandleBox router, String key) {
        return fleet.client()
                .sendAsync(
                        fleet.request(router, BID, "{}", "Idempotency-Key", key), HttpResponse.BodyHandlers.ofString());
    }

    private static String outcome(HttpResponse<String> answer) {
        return answer.headers().firstValue("Hornbeam-Outcome").orElse("none");
    }

    private int runs(String key) throws Exception {
        return Json.parse(fleet.get(service, "/admin/runs").body())
                .get()
                .path(key)
                .asInt();
    }

    /** Guards against telling a caller that its call has not run, when its only replica got it and never answered. */
    @Test
    public void aRepeatableCallThatMayHaveRunIsNotCalledNotRun() throws Exception {
        fleet.fault(service, "{\"workMillis\":0,\"silentShare\":1.0,\"refuseShare\":0}");
        HttpResponse<String> answer = fleet.post(routers.get(0), "/v1/services/app/lots", "{}");
        assertEquals(outcome(answer), "unknown", answer.body());
    }

    // The caller sends the same bid through all routers at once. It runs once; the others are told that it may have
    // run.
    @Test
    public void theSameIdThroughAllRoutersRunsOnce() throws Exception {
        String key = id().toString();
        List<CompletableFuture<HttpResponse<String>>> answers =
                routers.stream().map(r -> bid(r, key)).toList();
        List<String> outcomes = new ArrayList<>();
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            outcomes.add(outcome(answer.get()));
        }
        assertEquals(outcomes.stream().filter("completed"::equals).count(), 1, outcomes.toString());
        assertEquals(outcomes.stream().filter("unknown"::equals).count(), 2, outcomes.toString());
        assertEquals(runs(key), 1);
    }

    // The first router is killed while the bid is in work. The caller sends it again elsewhere: it is not run again,
    // and
    // the answer does not pretend that it did not run.
    @Test
    public void afterTheFirstRouterWasKilledItIsNotRunAgain() throws Exception {
        fleet.fault(service, "{\"workMillis\":1500,\"silentShare\":0,\"refuseShare\":0}");
        String key = id().toString();
        CompletableFuture<HttpResponse<String>> first = bid(routers.get(0), key);
        TestFleet.await(() -> runs(key) == 1);
        routers.get(0).kill();
        assertEquals(outcome(bid(routers.get(1), key).get()), "unknown");
        assertEquals(runs(key), 1);
        assertTrue(first.handle((r, e) -> e != null).get());
    }

    // The service runs the bid and never answers. The outcome is unknown, there is no second dispatch, and asking again
    // does not change that.
    @Test
    public void silenceAfterDispatchIsUnknownAndNeverTriedAgain() throws Exception {
        fleet.fault(service, "{\"workMillis\":0,\"silentShare\":1.0,\"refuseShare\":0}");
        String key = id().toString();
        assertEquals(outcome(bid(routers.get(0), key).get()), "unknown");
        assertEquals(outcome(bid(routers.get(1), key).get()), "unknown");
        assertEquals(runs(key), 1);
    }

    // The platform is out. A bid under an id of its own is refused at once, truly not run; one under a ticket of the
    // router runs, since that needs no platform. Through another router the ticket is passed on to its issuer.
    @Test
    public void duringAnOutageTicketsRunAndOtherBidsAreTrulyNotRun() throws Exception {
        fleet.fault(fleet.store(), STORE_FINE.replace("\"outage\":false", "\"outage\":true"));
        String key = id().toString();
        HttpResponse<String> refused = bid(routers.get(0), key).get();
        assertEquals(outcome(refused), "not-run");
        assertTrue(refused.headers().firstValue("Retry-After").isPresent());
        assertEquals(runs(key), 0);
        String ticket = Json.parse(fleet.get(routers.get(0), "/v1/entry?customer=test&ticket=1")
                        .body())
                .get()
                .path("ticket")
                .asText();
        assertEquals(outcome(bid(routers.get(1), ticket).get()), "completed");
        assertEquals(outcome(bid(routers.get(0), ticket).get()), "unknown");
        assertEquals(runs(ticket), 1);
        fleet.fault(fleet.store(), STORE_FINE);
        assertEquals(outcome(bid(routers.get(2), key).get()), "completed");
    }

    // A router is frozen with a bid in hand, and thawed after the caller has sent the bid elsewhere.
    @Test
    public void aFrozenAndThawedRouterDoublesNothing() throws Exception {
        fleet.fault(fleet.store(), STORE_FINE.replace("\"slowMillis\":0", "\"slowMillis\":100"));
        String key = id().toString();
        CompletableFuture<HttpResponse<String>> first = bid(routers.get(0), key);
        routers.get(0).freeze();
        String second = outcome(bid(routers.get(1), key).get());
        routers.get(0).thaw();
        String thawed = outcome(first.get());
        assertTrue(runs(key) <= 1, second + " and " + thawed);
        if (second.equals("not-run") && thawed.equals("not-run")) {
            assertEquals(runs(key), 0);
        }
    }

    @Test
    public void anExpiredIdNeverRuns() throws Exception {
        String key =
                ClaimIds.next(System.currentTimeMillis() - 3_600_000, random).toString();
        HttpResponse<String> answer = bid(routers.get(0), key).get();
        assertEquals(outcome(answer), "unknown");
        assertTrue(answer.body().contains("id-expired"));
        assertEquals(runs(key), 0);
    }

    // Ten thousand ids, each sent up to three times through routers drawn at random, while the platform refuses writes
    // and loses answers and the service falls silent. The service's own count judges: no id ran twice, and no id whose
    // attempts were all answered as not run has run.
    @Test
    public void tenThousandIdsUnderRandomFaultsAreNeverDoubled() throws Exception {
        long seed = 20_261_202;
        SplittableRandom draws = new SplittableRandom(seed);
        fleet.fault(
                fleet.store(),
                STORE_FINE
                        .replace("\"loseShare\":0", "\"loseShare\":0.02")
                        .replace("\"failShare\":0", "\"failShare\":0.05"));
        fleet.fault(service, "{\"workMillis\":0,\"silentShare\":0.001,\"refuseShare\":0}");
        Semaphore permits = new Semaphore(128);
        Map<String, Boolean> allNotRun = new ConcurrentHashMap<>();
        List<CompletableFuture<Void>> sent = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            String key = id().toString();
            for (int again = 0; again <= draws.nextInt(3); again++) {
                permits.acquire();
                sent.add(bid(routers.get(draws.nextInt(3)), key).handle((answer, e) -> {
                    permits.release();
                    boolean notRun = e == null && outcome(answer).equals("not-run");
                    allNotRun.merge(key, notRun, Boolean::logicalAnd);
                    return null;
                }));
            }
        }
        CompletableFuture.allOf(sent.toArray(new CompletableFuture<?>[0])).get();
        JsonNode stats = fleet.stats(service);
        assertEquals(stats.path("doubled").asLong(), 0, "seed " + seed);
        Map<String, Integer> ran = new HashMap<>();
        Json.parse(fleet.get(service, "/admin/runs").body())
                .get()
                .fields()
                .forEachRemaining(f -> ran.put(f.getKey(), f.getValue().asInt()));
        long lies = allNotRun.entrySet().stream()
                .filter(e -> e.getValue() && ran.containsKey(e.getKey()))
                .count();
        assertEquals(lies, 0, "seed " + seed);
        assertTrue(ran.size() > 8_000, ran.size() + " ids ran, seed " + seed);
        System.out.printf(
                "10000 ids, seed %d: %d ran, 0 doubled, %s writes to the platform%n",
                seed, ran.size(), fleet.stats(fleet.store()).path("writes").asText());
    }
}
