package org.hornbeamhead.router;

import io.activej.http.HttpResponse;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.core.availability.NoticeState;
import org.hornbeamhead.core.availability.Unavailability;
import org.hornbeamhead.core.outcome.Outcome;
import org.hornbeamhead.core.outcome.Reason;
import org.hornbeamhead.core.time.Clock;

/**
 * Decides whether this router may send a request to an endpoint now, by what the endpoint's answers said, and when a
 * caller may return if no endpoint takes it. Owned by the reactor's thread.
 */
final class EndpointAvailability {
    /** Spreads callers that were refused together over as long as they waited, but not longer. */
    private static final long MAX_JITTER_MILLIS = 5_000;

    private final Clock clock;
    private final RandomGenerator random;
    private final EndpointLimits limits;
    private final EndpointNotices notices;

    EndpointAvailability(Clock clock, RandomGenerator random, EndpointLimits limits, EndpointNotices notices) {
        this.clock = clock;
        this.random = random;
        this.limits = limits;
        this.notices = notices;
    }

    /** Takes over the endpoints that are listed. */
    void listed(Collection<String> listed) {
        limits.listed(listed);
        notices.listed(listed);
    }

    /** Forgets what an earlier process said of itself, since another one has started at its address. */
    void restarted(String endpoint) {
        notices.restarted(endpoint);
    }

    /** Records a request that is sent to an endpoint. */
    void recordSend(String endpoint) {
        limits.recordSend(endpoint);
    }

    /** Records what an answer says of its endpoint. */
    void observe(String endpoint, HttpResponse response, long requestedMillis, String request) {
        limits.observe(endpoint, response, requestedMillis);
        notices.observe(endpoint, response, request);
    }

    /** Returns why an endpoint may not get a request now, empty if it may get one. */
    Optional<Unavailability> check(String endpoint) {
        Optional<NoticeState> state = notices.state(endpoint);
        if (state.filter(NoticeState::isLeaving).isPresent()) {
            return Optional.of(Unavailability.LEAVING);
        }
        if (state.filter(s -> s.isBackingOff(clock.monotonicMillis())).isPresent()) {
            return Optional.of(Unavailability.BACK_OFF);
        }
        return limits.accepts(endpoint) ? Optional.empty() : Optional.of(Unavailability.REQUEST_LIMIT);
    }

    boolean accepts(String endpoint) {
        return check(endpoint).isEmpty();
    }

    /** Returns the endpoints that may not get a request now. */
    Set<String> unavailable() {
        return Stream.concat(notices.noticed(), limits.limited())
                .filter(e -> !accepts(e))
                .collect(Collectors.toSet());
    }

    /**
     * Books the return of a caller whose request no endpoint takes now.
     *
     * @param candidates the endpoints that could run the request otherwise
     * @return why it is refused and when the caller may return; empty if an endpoint takes it, or if none is known to
     *     take requests again
     */
    Optional<Outcome.NotRun> bookReturn(Collection<String> candidates) {
        if (candidates.stream().anyMatch(this::accepts)) {
            return Optional.empty();
        }
        return candidates.stream()
                .filter(e -> notices.state(e).filter(NoticeState::isLeaving).isEmpty())
                .min(Comparator.comparingLong(this::returnAtMillis))
                .map(this::bookReturn);
    }

    private long returnAtMillis(String endpoint) {
        return Math.max(backOffUntilMillis(endpoint), limits.nextReturnMillis(endpoint));
    }

    private long backOffUntilMillis(String endpoint) {
        return notices.state(endpoint).map(NoticeState::backOffUntilMillis).orElse(Long.MIN_VALUE / 2);
    }

    private Outcome.NotRun bookReturn(String endpoint) {
        long backOff = backOffUntilMillis(endpoint) - clock.monotonicMillis();
        long limit = limits.bookReturnMillis(endpoint);
        if (limit >= backOff) {
            return new Outcome.NotRun(Reason.AT_REQUEST_LIMIT, Duration.ofMillis(limit));
        }
        long jitter = random.nextLong(Math.min(backOff, MAX_JITTER_MILLIS) + 1);
        return new Outcome.NotRun(Reason.REPLICAS_PAUSED, Duration.ofMillis(backOff + jitter));
    }
}
