package org.hornbeamhead.router;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.hornbeamhead.core.outcome.Outcome;
import org.hornbeamhead.core.outcome.Reason;
import org.hornbeamhead.core.settings.Finding;
import org.hornbeamhead.daemon.Json;

/** Makes refusals and writes them as HTTP answers. */
public final class Refusals {
    /** Tells every caller what became of its request. */
    public static final HttpHeader OUTCOME = HttpHeaders.of("Hornbeam-Outcome");

    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int FORBIDDEN = 403;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long MILLIS_PER_SECOND = 1000;

    private Refusals() {}

    /**
     * Refuses a request that did not run.
     *
     * @param reason why
     * @param retryAfter when to come back
     * @return the refusal
     */
    public static Refusal notRun(Reason reason, Duration retryAfter) {
        return new Refusal(status(reason), new Outcome.NotRun(reason, retryAfter), List.of());
    }

    /**
     * Refuses a malformed request.
     *
     * @param findings all that is wrong
     * @return the refusal
     */
    public static Refusal malformed(List<Finding> findings) {
        return new Refusal(BAD_REQUEST, new Outcome.NotRun(Reason.BAD_REQUEST, Duration.ZERO), findings);
    }

    /**
     * Answers that the outcome is not known.
     *
     * @param reason why
     * @return the refusal
     */
    public static Refusal unknown(Reason reason) {
        return new Refusal(status(reason), new Outcome.Unknown(reason), List.of());
    }

    private static int status(Reason reason) {
        return switch (reason) {
            case BAD_REQUEST -> BAD_REQUEST;
            case UNKNOWN_CUSTOMER -> UNAUTHORIZED;
            case NOT_ALLOWED -> FORBIDDEN;
            case OVERLOADED, OVER_SHARE, ROUTER_FULL -> TOO_MANY;
            case ALREADY_CLAIMED, ID_EXPIRED, CLAIM_IN_DOUBT, TICKET_HOLDER_LOST -> CONFLICT;
            case ENDPOINT_LOST, CORRUPT_ANSWER, CALLER_GONE -> GATEWAY_TIMEOUT;
            case NO_REPLICA,
                    AT_REQUEST_LIMIT,
                    REPLICAS_PAUSED,
                    DRAINING,
                    NOT_READY,
                    CLAIM_UNAVAILABLE,
                    TRIES_EXHAUSTED,
                    HELD_BACK -> UNAVAILABLE;
        };
    }

    /**
     * Writes a refusal.
     *
     * @param id the request's id
     * @param refusal the refusal
     * @return the HTTP answer
     */
    public static Promise<HttpResponse> answer(String id, Refusal refusal) {
        HttpResponse.Builder answer = HttpResponse.ofCode(refusal.status())
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(HttpHeaders.of("X-Request-Id"), id)
                .withHeader(OUTCOME, outcomeName(refusal.outcome()));
        if (refusal.outcome() instanceof Outcome.NotRun notRun
                && !notRun.retryAfter().isZero()) {
            answer.withHeader(HttpHeaders.RETRY_AFTER, Long.toString(wholeSeconds(notRun.retryAfter())));
        }
        return answer.withBody(Json.write(body(id, refusal)).getBytes(StandardCharsets.UTF_8))
                .toPromise();
    }

    /**
     * Writes a refusal as JSON.
     *
     * @param id the request's id
     * @param refusal the refusal
     * @return the object
     */
    public static ObjectNode body(String id, Refusal refusal) {
        ObjectNode body = Json.object();
        ObjectNode error = body.putObject("error");
        error.put("type", reason(refusal.outcome()).wireName());
        error.put("outcome", outcomeName(refusal.outcome()));
        error.put("request_id", id);
        if (refusal.outcome() instanceof Outcome.NotRun notRun
                && !notRun.retryAfter().isZero()) {
            error.put("retry_after_ms", notRun.retryAfter().toMillis());
        }
        if (!refusal.findings().isEmpty()) {
            ArrayNode list = error.putArray("findings");
            refusal.findings().forEach(f -> list.add(f.render()));
        }
        return body;
    }

    /**
     * Names an outcome as answers and metrics do.
     *
     * @param outcome the outcome
     * @return such as {@code not-run}
     */
    public static String outcomeName(Outcome outcome) {
        if (outcome instanceof Outcome.Completed) {
            return "completed";
        }
        return outcome instanceof Outcome.NotRun ? "not-run" : "unknown";
    }

    /**
     * Gives an outcome's reason.
     *
     * @param outcome not run, or unknown
     * @return the reason
     */
    public static Reason reason(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun notRun) {
            return notRun.reason();
        }
        if (outcome instanceof Outcome.Unknown unknown) {
            return unknown.reason();
        }
        throw new IllegalArgumentException("a completed request has no reason");
    }

    private static long wholeSeconds(Duration duration) {
        return (duration.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }
}
