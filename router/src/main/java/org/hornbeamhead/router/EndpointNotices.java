package org.hornbeamhead.router;

import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.hornbeamhead.core.availability.NoticeState;
import org.hornbeamhead.core.http.RetryAfter;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;

/** What the answers of endpoints say about whether they take further requests. Owned by the reactor's thread. */
final class EndpointNotices {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Set to 1 in all answers of an endpoint that is leaving. */
    private static final HttpHeader LEAVING = HttpHeaders.of("Hornbeam-Leaving");

    private static final int UNAVAILABLE = 503;

    private final Clock clock;
    private final Metrics metrics;
    private final Map<String, NoticeState> states = new HashMap<>();

    EndpointNotices(Clock clock, Metrics metrics) {
        this.clock = clock;
        this.metrics = metrics;
        metrics.gauge("hornbeam_leaving_endpoints", () -> count(NoticeState::isLeaving));
        metrics.gauge("hornbeam_backing_off_endpoints", () -> count(s -> s.isBackingOff(clock.monotonicMillis())));
    }

    private long count(Predicate<NoticeState> condition) {
        return states.values().stream().filter(condition).count();
    }

    /** Takes over the endpoints that are listed; all others are forgotten. */
    void listed(Collection<String> endpoints) {
        states.keySet().retainAll(endpoints);
        endpoints.forEach(e -> states.computeIfAbsent(e, a -> new NoticeState()));
    }

    /** Forgets what the earlier process at an address said, since another one has started there. */
    void restarted(String endpoint) {
        states.computeIfPresent(endpoint, (a, s) -> new NoticeState());
    }

    NoticeState state(String endpoint) {
        return states.getOrDefault(endpoint, new NoticeState());
    }

    /** Records what an answer says. Invalid statements change nothing. */
    void observe(String endpoint, HttpResponse response, String request) {
        NoticeState state = states.get(endpoint);
        if (state == null) {
            return;
        }
        if (values(response, LEAVING).equals(List.of("1")) && state.recordLeaving()) {
            report(endpoint, request, "leaving", "endpoint leaving", "");
        }
        if (response.getCode() == UNAVAILABLE) {
            RetryAfter.parse(values(response, HttpHeaders.RETRY_AFTER))
                    .peekLeft(reason -> report(endpoint, request, "invalid", "endpoint notice ignored", reason))
                    .forEach(millis -> millis.ifPresent(m -> backOff(endpoint, state, m, request)));
        }
    }

    private void backOff(String endpoint, NoticeState state, long millis, String request) {
        if (state.recordBackOff(millis, clock.monotonicMillis())) {
            report(endpoint, request, "back-off", "endpoint backs off", "millis=" + millis);
        }
    }

    private static List<String> values(HttpResponse response, HttpHeader name) {
        return Optional.ofNullable(response.getHeader(name)).stream().toList();
    }

    private void report(String endpoint, String request, String notice, String decision, String inputs) {
        metrics.count("hornbeam_endpoint_notices", "notice", notice);
        logger.atInfo()
                .with(Logs.REQUEST, request)
                .with(Logs.REPLICA, endpoint)
                .with(Logs.DECISION, decision)
                .with(Logs.INPUTS, inputs)
                .log("%s: %s", decision, endpoint);
    }
}
