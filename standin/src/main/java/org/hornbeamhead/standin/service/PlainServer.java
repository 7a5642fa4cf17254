package org.hornbeamhead.standin.service;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.standin.StandinAnswers;

/** A stand-in plain service. It counts how often each id was run; that count judges whether anything ran twice. */
public final class PlainServer {
    private static final long CRASH_AFTER_MILLIS = 60;
    private static final int BODY_LIMIT = 1 << 20;
    private static final HttpHeader KEY = HttpHeaders.of("Idempotency-Key");

    /**
     * What the service does wrong.
     *
     * @param workMillis how long a call takes, in milliseconds
     * @param silentShare the share of calls that run and are never answered
     * @param refuseShare the share of calls that are refused with 503 before they run
     * @param failOn calls whose path contains this are answered with 500; empty for none
     * @param crashOn the process ends soon after it begins a call whose path contains this; empty for never
     * @param requestLimit the limit that its answers state, in requests a second; empty for none
     * @param leaving its answers say that it is leaving
     * @param retryAfter the Retry-After of refusals; empty for none
     */
    public record ServiceFaults(
            long workMillis,
            double silentShare,
            double refuseShare,
            String failOn,
            String crashOn,
            String requestLimit,
            boolean leaving,
            String retryAfter) {
        private static final ServiceFaults NONE = new ServiceFaults(0, 0, 0, "", "", "", false, "");

        /** A text that is left out is empty. */
        public ServiceFaults {
            failOn = failOn == null ? "" : failOn;
            crashOn = crashOn == null ? "" : crashOn;
            requestLimit = requestLimit == null ? "" : requestLimit;
            retryAfter = retryAfter == null ? "" : retryAfter;
        }

        private static boolean meets(String text, String path) {
            return !text.isEmpty() && path.contains(text);
        }
    }

    /**
     * What the service counted.
     *
     * @param calls calls run
     * @param ids distinct ids run
     * @param doubled ids run more than once
     */
    public record ServiceStats(long calls, int ids, long doubled) {}

    private final Daemon daemon;
    private final SplittableRandom random;
    private final Map<String, Integer> runs = new HashMap<>();
    private ServiceFaults faults = ServiceFaults.NONE;
    private long calls;

    /**
     * Makes a service.
     *
     * @param daemon the process
     * @param seed draws which calls fail
     */
    public PlainServer(Daemon daemon, long seed) {
        this.daemon = daemon;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Gives the HTTP interface.
     *
     * @return the servlet
     */
    public AsyncServlet servlet() {
        return RoutingServlet.builder(daemon.reactor())
                .with(HttpMethod.POST, "/admin/faults", this::fault)
                .with(HttpMethod.GET, "/admin/stats", r -> HttpAnswers.json(200, stats()))
                .with(HttpMethod.GET, "/admin/runs", r -> HttpAnswers.json(200, runs))
                .with("/*", this::run)
                .build();
    }

    private Promise<HttpResponse> run(HttpRequest request) {
        if (random.nextDouble() < faults.refuseShare()) {
            return StandinAnswers.refusal(faults.retryAfter(), faults.leaving());
        }
        calls++;
        if (ServiceFaults.meets(faults.failOn(), request.getPath())) {
            return HttpAnswers.text(500, "text/plain", "failed");
        }
        if (ServiceFaults.meets(faults.crashOn(), request.getPath())) {
            daemon.timers()
                    .schedule(CRASH_AFTER_MILLIS, () -> Runtime.getRuntime().halt(1));
            return new SettablePromise<>();
        }
        String id = request.getHeader(KEY);
        if (id != null) {
            runs.merge(id, 1, Integer::sum);
        }
        if (random.nextDouble() < faults.silentShare()) {
            return new SettablePromise<>();
        }
        Promise<HttpResponse> answer = answer(id, request.getPath());
        return faults.workMillis() == 0
                ? answer
                : Promises.delay(faults.workMillis()).then(v -> answer);
    }

    private Promise<HttpResponse> answer(String id, String path) {
        HttpResponse.Builder answer = HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(Json.write(Json.object().put("id", id).put("path", path))
                        .getBytes(StandardCharsets.UTF_8));
        StandinAnswers.addNotices(answer, faults.requestLimit(), faults.leaving());
        return answer.toPromise();
    }

    private ServiceStats stats() {
        return new ServiceStats(
                calls, runs.size(), runs.values().stream().filter(n -> n > 1).count());
    }

    private Promise<HttpResponse> fault(HttpRequest request) {
        return request.loadBody(BODY_LIMIT).then(buf -> {
            faults = Json.read(buf.getString(StandardCharsets.UTF_8), ServiceFaults.class)
                    .getOrElse(ServiceFaults.NONE);
            return HttpAnswers.text(200, "text/plain", "set");
        });
    }
}
