package org.hornbeamhead.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import org.hornbeamhead.daemon.Json;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class WholePathTest {
    /** Connections that are kept for the next requests. */
    private static final int MAX_NEW_DESCRIPTORS = 20;

    private TestFleet fleet;
    private ProcessHandleBox router;
    private ProcessHandleBox service;

    @BeforeClass
    public void setUp() throws Exception {
        fleet = new TestFleet();
        fleet.startPlatform("0 ms");
        ProcessHandleBox first = fleet.engine();
        ProcessHandleBox second = fleet.engine();
        service = fleet.service();
        first.awaitReady();
        second.awaitReady();
        service.awaitReady();
        router = fleet.routers(2, 2).get(0);
    }

    @AfterClass
    public void tearDown() throws Exception {
        fleet.close();
    }

    @Test
    public void aStreamArrivesWholeAndUnderTheCallersId() throws Exception {
        HttpResponse<String> answer =
                fleet.post(router, "/v1/chat/completions", TestFleet.chat("d1", 20, true), "X-Request-Id", "mine-1");
        assertEquals(answer.statusCode(), 200);
        assertTrue(TestFleet.isWhole(answer.body()));
        assertEquals(TestFleet.text(answer.body()).length(), 100);
        assertTrue(answer.body().contains("chatcmpl-mine-1"));
    }

    @Test
    public void aWholeAnswerSaysWhatTheStreamSaysAndCountsCachedTokens() throws Exception {
        HttpResponse<String> stream = fleet.post(router, "/v1/chat/completions", TestFleet.chat("d2", 8, true));
        HttpResponse<String> whole = fleet.post(router, "/v1/chat/completions", TestFleet.chat("d2", 8, false));
        JsonNode json = Json.parse(whole.body()).get();
        assertEquals(
                json.path("choices").path(0).path("message").path("content").asText(), TestFleet.text(stream.body()));
        int cached = json.path("usage")
                .path("prompt_tokens_details")
                .path("cached_tokens")
                .asInt();
        assertTrue(cached > 300, whole.body());
    }

    /**
     * Guards against a connection to an engine that stays open after each answer, until the router has no memory left.
     */
    @Test(dataProvider = "streamOrWhole")
    public void finishedAnswersLeaveNoConnectionsOpen(boolean stream) throws Exception {
        fleet.post(router, "/v1/chat/completions", TestFleet.chat("first", 3, stream));
        long before = router.openDescriptors();
        for (int i = 0; i < 4 * MAX_NEW_DESCRIPTORS; i++) {
            fleet.post(router, "/v1/chat/completions", TestFleet.chat("many" + i, 3, stream));
        }
        long opened = router.openDescriptors() - before;
        assertTrue(opened <= MAX_NEW_DESCRIPTORS, opened + " more descriptors");
    }

    @DataProvider
    public Object[][] streamOrWhole() {
        return new Object[][] {{true}, {false}};
    }

    @Test
    public void plainCompletionsAndBatchAreServed() throws Exception {
        String plain = Json.write(Json.object()
                .put("model", TestFleet.MODEL)
                .put("prompt", "once upon a time")
                .put("max_tokens", 3));
        assertEquals(fleet.post(router, "/v1/completions", plain).statusCode(), 200);
        HttpResponse<String> batch =
                fleet.post(router, "/v1/chat/completions", TestFleet.chat("d3", 4, false), "Hornbeam-Class", "slow");
        assertEquals(batch.statusCode(), 200, batch.body());
    }

    // Two customers send the same bytes. The second finds nothing cached, since the salts differ.
    @Test
    public void anotherCustomerFindsNothingCached() throws Exception {
        fleet.post(router, "/v1/chat/completions", TestFleet.chat("d4", 2, false));
        HttpResponse<String> other = fleet.post(
                router,
                "/v1/chat/completions",
                TestFleet.chat("d4", 2, false),
                "Authorization",
                "Bearer " + TestFleet.OTHER_KEY);
        JsonNode usage = Json.parse(other.body()).get().path("usage");
        assertEquals(usage.path("prompt_tokens_details").path("cached_tokens").asInt(), 0);
    }

    @DataProvider
    public Object[][] badRequests() {
        return new Object[][] {
            {"{", 400, List.of("no JSON at line 1")},
            {"[]", 400, List.of("a request is a JSON object")},
            {
                "{\"model\":\"no\",\"max_tokens\":-1,\"messages\":[{\"role\":1}]}",
                400,
                List.of("'no' is no model", "max_tokens", "messages[0].role", "messages[0].content")
            },
            {"{\"model\":\"model\"}", 400, List.of("messages: needs a list")},
        };
    }

    @Test(dataProvider = "badRequests")
    public void badInputIsRefusedWithEveryFinding(String body, int status, List<String> findings) throws Exception {
        HttpResponse<String> answer = fleet.post(router, "/v1/chat/completions", body);
        assertEquals(answer.statusCode(), status);
        assertEquals(answer.headers().firstValue("Hornbeam-Outcome").orElse(""), "not-run");
        findings.forEach(f -> assertTrue(answer.body().contains(f), answer.body()));
    }

    @Test
    public void anUnknownKeyIsRefused() throws Exception {
        HttpResponse<String> answer =
                fleet.post(router, "/v1/chat/completions", TestFleet.chat("d", 1, true), "Authorization", "Bearer x");
        assertEquals(answer.statusCode(), 401);
    }

    @Test
    public void callersLearnWhichEntryHostsToUse() throws Exception {
        JsonNode answer = Json.parse(
                        fleet.get(router, "/v1/entry?customer=test&hint=d1").body())
                .get();
        assertEquals(answer.path("addresses").size(), 2);
        assertTrue(answer.path("ttl_ms").asLong() > 0);
    }

    @Test
    public void healthMetricsAndStatusAreShown() throws Exception {
        assertEquals(fleet.get(router, "/healthz").statusCode(), 200);
        assertEquals(fleet.get(router, "/readyz").statusCode(), 200);
        fleet.post(router, "/v1/chat/completions", TestFleet.chat("d5", 2, true));
        assertTrue(fleet.get(router, "/metrics").body().contains("hornbeam_first_token"));
        assertEquals(fleet.ctl("status", "--router", router.http()), 0);
    }

    @Test
    public void aServiceIsReachedAndACallWithoutAnIdIsRefusedWhereOneIsNeeded() throws Exception {
        HttpResponse<String> read = fleet.post(router, "/v1/services/app/lots", "{}");
        assertEquals(read.statusCode(), 200, read.body());
        HttpResponse<String> bid = fleet.post(router, "/v1/services/app/bids", "{}");
        assertEquals(bid.statusCode(), 400);
        assertTrue(bid.body().contains("UUID of version 7"));
        assertFalse(service.http().isEmpty());
    }

    @DataProvider
    public Object[][] commands() {
        return new Object[][] {
            {new String[] {"--help"}, 0},
            {new String[] {}, 2},
            {new String[] {"nonsense"}, 2},
            {new String[] {"show"}, 2},
            {new String[] {"check", "/does/not/exist"}, 1},
            {new String[] {"show", "--platform", "127.0.0.1:1"}, 1},
        };
    }

    @Test(dataProvider = "commands")
    public void exitCodesTellWhatHappened(String[] args, int code) throws Exception {
        assertEquals(fleet.ctl(args), code);
    }
}
