package org.hornbeamhead.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.List;
import org.testng.annotations.Test;

/** Endpoints that state how many requests a second they take from all routers together. */
public class RequestLimitTest extends EndpointFixture {
    private static final int LIMIT_PER_SECOND = 2;
    private static final long WINDOW_MILLIS = 4_000;
    /** Half as much again as the limit in the window, and five. */
    private static final long MOST_REQUESTS = LIMIT_PER_SECOND * WINDOW_MILLIS * 3 / 2_000 + 5;

    private static final String SERVICE_LIMIT =
            "{\"workMillis\":0,\"silentShare\":0,\"refuseShare\":0,\"requestLimit\":\"2\"}";
    private static final String ENGINE_LIMIT = "{\"silent\":false,\"cutAfter\":-1,\"requestLimit\":\"2\"}";

    /** Guards against sending an endpoint more than it takes from all routers together. */
    @Test(dataProvider = "kinds")
    public void endpointGetsNoMoreThanItsLimitFromAllRouters(boolean engines) throws Exception {
        List<ProcessHandleBox> endpoints =
                List.of(endpoint(engines).awaitReady(), endpoint(engines).awaitReady());
        List<ProcessHandleBox> routers = fleet.routers(2, engines ? 2 : 0);
        TestFleet.await(() -> ask(routers.get(0), engines, "first").statusCode() == 200);
        ProcessHandleBox limited = requests(endpoints.get(0), engines) > 0 ? endpoints.get(0) : endpoints.get(1);
        fleet.fault(limited, engines ? ENGINE_LIMIT : SERVICE_LIMIT);
        TestFleet.await(() -> {
            ask(routers.get(0), engines, "first");
            return fleet.get(routers.get(0), "/metrics").body().contains("hornbeam_limited_endpoints 1.0");
        });
        for (ProcessHandleBox router : routers) {
            TestFleet.await(() -> fleet.get(router, "/metrics").body().contains("hornbeam_limited_endpoints 1.0"));
        }
        long known = requests(limited, engines);
        long end = nowMillis() + WINDOW_MILLIS;
        for (int i = 0; nowMillis() < end; i++) {
            assertEquals(ask(routers.get(i % 2), engines, "x" + i).statusCode(), 200);
        }
        long sent = requests(limited, engines) - known;
        assertTrue(sent <= MOST_REQUESTS, sent + " requests");
    }

    /** Guards against callers that wait for an endpoint at its limit. */
    @Test(dataProvider = "kinds")
    public void requestIsRefusedAtOnceWhenAllEndpointsAreAtTheirLimits(boolean engines) throws Exception {
        ProcessHandleBox limited = endpoint(engines).awaitReady();
        ProcessHandleBox router = fleet.routers(1, engines ? 1 : 0).get(0);
        fleet.fault(limited, engines ? ENGINE_LIMIT : SERVICE_LIMIT);
        TestFleet.await(() -> ask(router, engines, "x").statusCode() == 503);
        HttpResponse<String> refused = ask(router, engines, "x");
        if (refused.statusCode() == 503) {
            assertTrue(refused.body().contains("\"at-request-limit\""), refused.body());
            assertTrue(refused.body().contains("\"retry_after_ms\""), refused.body());
        }
    }
}
