package org.hornbeamhead.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StreamFailureTest {
    private static final int TOKENS = 60;
    private static final String FINE =
            "{\"silent\":false,\"cutAfter\":-1,\"duplicate\":false,\"swap\":false,\"crossed\":false,\"noEnd\":false,"
                    + "\"refuse\":false}";

    private TestFleet fleet;
    private List<ProcessHandleBox> engines;
    private ProcessHandleBox router;
    private String expected;

    @BeforeMethod
    public void setUp() throws Exception {
        fleet = new TestFleet();
        fleet.startPlatform("0 ms");
        engines = List.of(fleet.engine(), fleet.engine(), fleet.engine());
        for (ProcessHandleBox engine : engines) {
            engine.awaitReady();
        }
        router = fleet.routers(1, 3).get(0);
        expected = TestFleet.text(ask("dossier").body());
        assertEquals(expected.length(), TOKENS * 5);
    }

    @AfterMethod
    public void tearDown() throws Exception {
        fleet.close();
    }

    private HttpResponse<String> ask(String dossier) throws Exception {
        return fleet.post(router, "/v1/chat/completions", TestFleet.chat(dossier, TOKENS, true));
    }

    private CompletableFuture<HttpResponse<String>> askWithoutWaiting() {
        return fleet.client()
                .sendAsync(
                        fleet.request(router, "/v1/chat/completions", TestFleet.chat("dossier", TOKENS, true)),
                        HttpResponse.BodyHandlers.ofString());
    }

    private ProcessHandleBox busyEngine() {
        List<ProcessHandleBox> busy = new ArrayList<>();
        TestFleet.await(() -> {
            for (ProcessHandleBox engine : engines) {
                if (fleet.stats(engine).path("running").asInt() > 0) {
                    busy.add(engine);
                }
            }
            return !busy.isEmpty();
        });
        return busy.get(0);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"\"duplicate\":false", "\"duplicate\":true"},
            {"\"swap\":false", "\"swap\":true"},
            {"\"cutAfter\":-1", "\"cutAfter\":25"},
            {"\"cutAfter\":-1", "\"cutAfter\":1"},
            {"\"noEnd\":false", "\"noEnd\":true"},
        };
    }

    // Every engine sends events twice, out of order, or cuts each connection after a few events. The caller sees the
    // same
    // answer as without faults: order and number are checked, and a cut stream is asked for again from where it was
    // cut.
    // What can't be mended within the tries ends without its mark, and says so.
    @Test(dataProvider = "faults")
    public void anEnginesDisorderDoesNotReachTheCaller(String good, String bad) throws Exception {
        for (ProcessHandleBox engine : engines) {
            fleet.fault(engine, FINE.replace(good, bad));
        }
        HttpResponse<String> answer = ask("dossier");
        String text = TestFleet.text(answer.body());
        assertTrue(expected.startsWith(text), "the answer differs: " + text);
        if (TestFleet.isWhole(answer.body())) {
            assertEquals(text, expected);
        } else {
            assertTrue(answer.body().contains("\"outcome\":\"unknown\""), answer.body());
        }
    }

    // An engine answers with events of another request. Nothing of them reaches the caller.
    @Test
    public void anotherRequestsAnswerIsNeverRelayed() throws Exception {
        for (ProcessHandleBox engine : engines) {
            fleet.fault(engine, FINE.replace("\"crossed\":false", "\"crossed\":true"));
        }
        HttpResponse<String> answer = ask("dossier");
        assertFalse(answer.body().contains("somebody-elses"));
        assertFalse(answer.body().contains("delta"), answer.body());
    }

    // The engine is killed in the middle of a stream. Another one continues from the text that the caller already has;
    // the caller sees one whole answer and no break.
    @Test
    public void aKilledEnginesStreamIsContinuedElsewhere() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = askWithoutWaiting();
        busyEngine().kill();
        assertEquals(TestFleet.text(answer.get().body()), expected);
        assertTrue(TestFleet.isWhole(answer.get().body()));
    }

    // All connections open now go silent for good, while new ones work. The stream is asked for again over a new
    // connection and goes on.
    @Test
    public void aSilentConnectionIsLeftForANewOne() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = askWithoutWaiting();
        fleet.fault(busyEngine(), FINE.replace("\"silent\":false", "\"silent\":true"));
        assertEquals(TestFleet.text(answer.get().body()), expected);
        assertTrue(TestFleet.isWhole(answer.get().body()));
    }

    // An engine is frozen: nothing comes, and no connection to it is answered. Another one takes over.
    @Test
    public void aFrozenEnginesStreamIsContinuedElsewhere() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = askWithoutWaiting();
        busyEngine().freeze();
        assertEquals(TestFleet.text(answer.get().body()), expected);
    }

    // The caller goes away in the middle. The engine is told and stops working for nobody.
    @Test
    public void aCallerThatGoesAwayEndsTheEnginesWork() throws Exception {
        HttpResponse<InputStream> answer = fleet.client()
                .send(
                        fleet.request(router, "/v1/chat/completions", TestFleet.chat("dossier", 3_000, true)),
                        HttpResponse.BodyHandlers.ofInputStream());
        byte[] some = answer.body().readNBytes(200);
        assertTrue(new String(some, StandardCharsets.UTF_8).startsWith("data: "));
        ProcessHandleBox engine = busyEngine();
        answer.body().close();
        TestFleet.await(() -> fleet.stats(engine).path("running").asInt() == 0);
        assertTrue(fleet.stats(engine).path("cancelled").asInt() >= 1);
    }

    // The only engines left refuse new work. The caller learns at once that nothing ran and when to come back.
    @Test
    public void refusalsOfAllEnginesAreAnsweredAsNotRun() throws Exception {
        for (ProcessHandleBox engine : engines) {
            fleet.fault(engine, FINE.replace("\"refuse\":false", "\"refuse\":true"));
        }
        HttpResponse<String> answer = ask("another");
        assertEquals(answer.statusCode(), 503);
        assertEquals(answer.headers().firstValue("Hornbeam-Outcome").orElse(""), "not-run");
        assertTrue(answer.headers().firstValue("Retry-After").isPresent());
        assertEquals(fleet.stats(engines.get(0)).path("running").asInt(), 0);
    }
}
