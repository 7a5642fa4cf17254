package org.hornbeamhead.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Streams of the own interface whose engine ends, while engines of several software versions serve. */
public class StreamSoftwareTest {
    private static final int TOKENS = 60;
    private static final int EVENTS_BEFORE_END = 3;

    private TestFleet fleet;

    @BeforeMethod
    public void setUp() throws Exception {
        fleet = new TestFleet();
        fleet.startPlatform("0 ms");
    }

    @AfterMethod
    public void tearDown() throws Exception {
        fleet.close();
    }

    @DataProvider
    public Object[][] versions() {
        return new Object[][] {
            {List.of("v1", "v1", "v1"), true},
            {List.of("v1", "v2", "v3"), false},
            {List.of("", "", ""), false},
        };
    }

    /** Guards against continuing a stream at an engine of another software version, or of an unknown one. */
    @Test(dataProvider = "versions")
    public void streamIsContinuedOnlyAtSoftwareThatBeganIt(List<String> versions, boolean continued) throws Exception {
        List<ProcessHandleBox> engines = new ArrayList<>();
        for (String version : versions) {
            engines.add(fleet.engine("--software=" + version));
        }
        for (ProcessHandleBox engine : engines) {
            engine.awaitReady();
        }
        ProcessHandleBox router = fleet.routers(1, versions.size()).get(0);
        InputStream answer = fleet.client()
                .send(
                        fleet.request(router, "/v1/chat/completions", TestFleet.chat("dossier", TOKENS, true)),
                        HttpResponse.BodyHandlers.ofInputStream())
                .body();
        String begin = readEvents(answer, EVENTS_BEFORE_END);
        ProcessHandleBox first = runningEngine(engines);
        first.kill();
        String body = begin + new String(answer.readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(TestFleet.isWhole(body), continued, body);
        long runs = 0;
        for (ProcessHandleBox other : engines) {
            runs += other == first ? 0 : fleet.stats(other).path("accepted").asLong();
        }
        assertEquals(runs, continued ? 1 : 0);
        if (!continued) {
            assertTrue(body.contains("\"outcome\":\"unknown\""), body);
            assertFalse(TestFleet.text(body).isEmpty(), body);
        }
    }

    private static String readEvents(InputStream answer, int count) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        while (read.toString(StandardCharsets.UTF_8).split("\n\n", -1).length <= count) {
            read.write(answer.read());
        }
        return read.toString(StandardCharsets.UTF_8);
    }

    private ProcessHandleBox runningEngine(List<ProcessHandleBox> engines) throws Exception {
        for (ProcessHandleBox engine : engines) {
            if (fleet.stats(engine).path("running").asInt() > 0) {
                return engine;
            }
        }
        throw new AssertionError("no engine runs the stream");
    }
}
