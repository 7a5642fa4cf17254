package org.hornbeamhead.gateway.dispatch;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.forward.FinalResponse;
import org.hornbeamhead.core.forward.RefusalReason;
import org.hornbeamhead.core.forward.ServedOutcome;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.quota.QuotaDecision;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.caller.CallerResponse;
import org.hornbeamhead.gateway.path.RelayHeaders;
import org.hornbeamhead.gateway.state.RoutingState;

/** The answers that the router itself gives to requests, instead of a replica. */
final class OwnAnswers {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Upper bound of the random extra delay that spreads the retries of callers that were rejected together. */
    private static final long MAX_JITTER_MILLIS = 5_000;
    /**
     * Retry delay while the configuration may be stale. It is refreshed by the next long-poll read of the store, or by
     * another router.
     */
    static final long STALE_RETRY_MILLIS = 500;

    private final Clock clock;
    private final RoutingState state;
    private final Metrics metrics;
    private final RandomGenerator random;

    OwnAnswers(Clock clock, RoutingState state, Metrics metrics, RandomGenerator random) {
        this.clock = clock;
        this.state = state;
        this.metrics = metrics;
        this.random = random;
    }

    /** Declines a request of another router. It has not run, and a third router may take it. */
    void decline(CallerRequest request, CallerResponse response, String reason) {
        respond(request, response, FinalResponse.NOT_RUN.status(), reason, RelayHeaders.declined(reason));
    }

    /**
     * Rejects a request that the configuration does not allow.
     *
     * <p>When this router has had no contact with the store for a while, the configuration may have changed, and a
     * caller with a new key would be rejected permanently. While the configuration may be stale, the caller is told to
     * retry instead.
     */
    void deny(CallerRequest request, CallerResponse response, int status, String reason) {
        if (state.isFresh(clock.monotonicMillis())) {
            respond(request, response, status, reason, Headers.NONE);
        } else {
            rejectNotExecuted(
                    request,
                    response,
                    Refusal.beforeRouting(RefusalReason.STALE_CONFIGURATION),
                    reason + " in a configuration that may be old",
                    STALE_RETRY_MILLIS);
        }
    }

    /** Rejects a request that has not run; the caller is told to return after the delay and up to as long again. */
    void rejectNotExecuted(
            CallerRequest request, CallerResponse response, Refusal refusal, String reason, long retryAfterMillis) {
        refusal.count(metrics);
        long delayMillis = retryAfterMillis + random.nextLong(Math.min(retryAfterMillis, MAX_JITTER_MILLIS) + 1);
        respond(request, response, FinalResponse.NOT_RUN.status(), reason, retryAfter(delayMillis));
    }

    /** Ends a routed request that was not handled any further, as {@link #rejectNotExecuted} does. */
    void refuse(
            RoutedRequest routed, CallerResponse response, RefusalReason why, String reason, long retryAfterMillis) {
        routed.countServed(ServedOutcome.REFUSED, metrics);
        rejectNotExecuted(routed.callerRequest(), response, Refusal.of(routed, why), reason, retryAfterMillis);
    }

    /** Rejects a request that is beyond its customer's quota. */
    void rejectOverQuota(RoutedRequest routed, CallerResponse response, QuotaDecision decision) {
        Refusal refusal = Refusal.of(routed, RefusalReason.OVER_QUOTA);
        metrics.count("hornbeam_quota_refusals", "customer", refusal.customer());
        refusal.count(metrics);
        routed.countServed(ServedOutcome.REFUSED, metrics);
        logger.atInfo()
                .with(Logs.REQUEST, routed.callerRequest().id())
                .with(Logs.DECISION, "refused over quota")
                .with(
                        Logs.INPUTS,
                        "customer=" + refusal.customer() + " cost=" + decision.cost() + " level="
                                + Math.round(decision.level()) + " share=" + decision.share() + " hintAgeMillis="
                                + decision.hintAgeMillis())
                .log("request is over its customer's quota");
        respond(
                routed.callerRequest(),
                response,
                FinalResponse.OVER_QUOTA.status(),
                "the customer's quota is used up",
                retryAfter(decision.retryAfterMillis()));
    }

    /** Rejects a request that has not run; the caller is told to return after exactly the delay that was booked. */
    void rejectUntil(
            CallerRequest request, CallerResponse response, Refusal refusal, String reason, long returnMillis) {
        refusal.count(metrics);
        respond(request, response, FinalResponse.NOT_RUN.status(), reason, retryAfter(returnMillis));
    }

    static Headers retryAfter(long millis) {
        return Headers.NONE.with("Retry-After", String.format(Locale.ROOT, "%.3f", millis / 1000.0));
    }

    void respond(CallerRequest request, CallerResponse response, int status, String reason, Headers headers) {
        metrics.count("hornbeam_own_answers", "status", Integer.toString(status));
        logger.atInfo()
                .with(Logs.REQUEST, request.id())
                .with(Logs.DECISION, "own answer " + status)
                .with(Logs.REASON, reason)
                .with(Logs.INPUTS, state.inputs(clock.monotonicMillis()))
                .log("responded with status %d", status);
        byte[] body = (reason + "\n").getBytes(StandardCharsets.UTF_8);
        response.respond(status, headers.with("Content-Type", "text/plain"), body);
    }
}
