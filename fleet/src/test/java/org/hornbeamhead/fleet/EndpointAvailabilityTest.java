package org.hornbeamhead.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.List;
import org.testng.annotations.Test;

/** Endpoints that leave, or ask for a pause, by their answers alone. */
public class EndpointAvailabilityTest extends EndpointFixture {
    private static final int REQUESTS = 40;
    /** Shorter than the pause that the faults ask for, which begins later than this is measured from. */
    private static final long PAUSE_MILLIS = 2_000;

    private static final String SERVICE_LEAVES =
            "{\"workMillis\":0,\"silentShare\":0,\"refuseShare\":0,\"leaving\":true}";
    private static final String ENGINE_LEAVES = "{\"silent\":false,\"cutAfter\":-1,\"leaving\":true}";
    private static final String SERVICE_PAUSES =
            "{\"workMillis\":0,\"silentShare\":0,\"refuseShare\":1,\"retryAfter\":\"2.5\"}";
    private static final String ENGINE_PAUSES =
            "{\"silent\":false,\"cutAfter\":-1,\"refuse\":true,\"retryAfter\":\"2.5\"}";
    private static final String SERVICE_HEALTHY = "{\"workMillis\":0,\"silentShare\":0,\"refuseShare\":0}";
    private static final String ENGINE_HEALTHY = "{\"silent\":false,\"cutAfter\":-1}";

    private boolean hasMetric(ProcessHandleBox router, String line) throws Exception {
        return fleet.get(router, "/metrics").body().contains(line);
    }

    /** Guards against sending requests to an endpoint that leaves, but that the list of hosts still has. */
    @Test(dataProvider = "kinds")
    public void leavingEndpointGetsNoMoreRequests(boolean engines) throws Exception {
        List<ProcessHandleBox> endpoints =
                List.of(endpoint(engines).awaitReady(), endpoint(engines).awaitReady());
        ProcessHandleBox router = fleet.routers(1, engines ? 2 : 0).get(0);
        TestFleet.await(() -> ask(router, engines, "first").statusCode() == 200);
        ProcessHandleBox leaving = requests(endpoints.get(0), engines) > 0 ? endpoints.get(0) : endpoints.get(1);
        fleet.fault(leaving, engines ? ENGINE_LEAVES : SERVICE_LEAVES);
        TestFleet.await(() -> {
            ask(router, engines, "first");
            return hasMetric(router, "hornbeam_leaving_endpoints 1.0");
        });
        long before = requests(leaving, engines);
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(ask(router, engines, "first").statusCode(), 200);
        }
        assertEquals(requests(leaving, engines), before);
    }

    /** Guards against sending requests to an endpoint within the pause that it asked for. */
    @Test(dataProvider = "kinds")
    public void endpointGetsNoRequestsWithinItsRetryAfter(boolean engines) throws Exception {
        List<ProcessHandleBox> endpoints =
                List.of(endpoint(engines).awaitReady(), endpoint(engines).awaitReady());
        ProcessHandleBox router = fleet.routers(1, engines ? 2 : 0).get(0);
        TestFleet.await(() -> ask(router, engines, "first").statusCode() == 200);
        ProcessHandleBox paused = requests(endpoints.get(0), engines) > 0 ? endpoints.get(0) : endpoints.get(1);
        fleet.fault(paused, engines ? ENGINE_PAUSES : SERVICE_PAUSES);
        long askedAt = nowMillis();
        TestFleet.await(() -> {
            ask(router, engines, "first");
            return hasMetric(router, "hornbeam_backing_off_endpoints 1.0");
        });
        fleet.fault(paused, engines ? ENGINE_HEALTHY : SERVICE_HEALTHY);
        long before = requests(paused, engines);
        int sent = 0;
        while (nowMillis() < askedAt + PAUSE_MILLIS) {
            assertEquals(ask(router, engines, "first").statusCode(), 200);
            sent++;
        }
        assertTrue(sent > 0, "nothing was sent within the pause");
        assertEquals(requests(paused, engines), before);
    }

    /** Guards against callers that wait for the only endpoint, or are told to return before its pause is over. */
    @Test(dataProvider = "kinds")
    public void callerIsRefusedAtOnceWhileTheOnlyEndpointPauses(boolean engines) throws Exception {
        ProcessHandleBox paused = endpoint(engines).awaitReady();
        ProcessHandleBox router = fleet.routers(1, engines ? 1 : 0).get(0);
        TestFleet.await(() -> ask(router, engines, "first").statusCode() == 200);
        fleet.fault(paused, engines ? ENGINE_PAUSES : SERVICE_PAUSES);
        TestFleet.await(() -> {
            ask(router, engines, "first");
            return hasMetric(router, "hornbeam_backing_off_endpoints 1.0");
        });
        HttpResponse<String> refused = ask(router, engines, "first");
        assertEquals(refused.statusCode(), 503);
        assertTrue(refused.body().contains("\"replicas-paused\""), refused.body());
        assertTrue(refused.headers().firstValue("Retry-After").isPresent(), refused.body());
    }
}
