package org.hornbeamhead.fleet;

import java.net.http.HttpResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;

/** Base class of tests that play the same on engines and on plain services. */
abstract class EndpointFixture {
    TestFleet fleet;

    /** Starts the platform. */
    @BeforeMethod
    public void setUp() throws Exception {
        fleet = new TestFleet();
        fleet.startPlatform("0 ms");
    }

    /** Ends all processes. */
    @AfterMethod
    public void tearDown() throws Exception {
        fleet.close();
    }

    /** Whether the endpoints are engines. */
    @DataProvider
    public Object[][] kinds() {
        return new Object[][] {{true}, {false}};
    }

    ProcessHandleBox endpoint(boolean engine) throws Exception {
        return engine ? fleet.engine() : fleet.service();
    }

    HttpResponse<String> ask(ProcessHandleBox router, boolean engines, String what) throws Exception {
        return engines
                ? fleet.post(router, "/v1/chat/completions", TestFleet.chat(what, 2, false))
                : fleet.post(router, "/v1/services/app/" + what, "{}");
    }

    /** Counts the requests that an endpoint has begun. */
    long requests(ProcessHandleBox endpoint, boolean engine) throws Exception {
        return fleet.stats(endpoint).path(engine ? "accepted" : "calls").asLong();
    }

    static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }
}
