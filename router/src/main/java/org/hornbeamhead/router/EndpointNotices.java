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
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
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
    /** The endpoints that said anything. */
    private final Map<String, NoticeState> states = new HashMap<>();

    private Set<String> endpoints = Set.of();

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
    void listed(Collection<String> listed) {
        endpoints = Set.copyOf(listed);
        states.keySet().retainAll(endpoints);
    }

    /** Forgets what the earlier process at an address said, since another one has started there. */
    void restarted(String endpoint) {
        states.remove(endpoint);
    }

    /** Returns what an endpoint said, empty if it said nothing. */
    Optional<NoticeState> state(String endpoint) {
        return Optional.ofNullable(states.get(endpoint));
    }

    /** Returns the endpoints that said anything. */
    Stream<String> noticed() {
        return states.keySet().stream();
    }

    /** Records what an answer says. Invalid statements change nothing. */
    void observe(String endpoint, HttpResponse response, String request) {
        if (!endpoints.contains(endpoint)) {
            return;
        }
        if (values(response, LEAVING).equals(List.of("1")) && recorded(endpoint).recordLeaving()) {
            report(endpoint, request, "leaving", "endpoint leaving", "");
        }
        if (response.getCode() == UNAVAILABLE) {
            RetryAfter.parse(values(response, HttpHeaders.RETRY_AFTER))
                    .peekLeft(reason -> report(endpoint, request, "invalid", "endpoint notice ignored", reason))
                    .forEach(millis -> millis.ifPresent(m -> backOff(endpoint, m, request)));
        }
    }

    private NoticeState recorded(String endpoint) {
        return states.computeIfAbsent(endpoint, e -> new NoticeState());
    }

    private void backOff(String endpoint, long millis, String request) {
        if (recorded(endpoint).recordBackOff(millis, clock.monotonicMillis())) {
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
