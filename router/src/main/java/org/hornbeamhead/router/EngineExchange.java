package org.hornbeamhead.router;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.activej.promise.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.stream.Collectors;
import org.hornbeamhead.core.crash.LostAttempt;
import org.hornbeamhead.core.outcome.Reason;
import org.hornbeamhead.core.placement.PlacementChoice;
import org.hornbeamhead.core.placement.PlacementTarget;
import org.hornbeamhead.core.placement.Replica;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.stream.StreamEvent;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.daemon.Logs;

/**
 * The life of one model request between the caller and the engines. Events are pulled one by one, so that a slow caller
 * slows the engine's connection down and nothing is stored.
 *
 * <p>What follows a failure depends on its phase: what was not sent goes anywhere; a cut stream is resumed where it was
 * cut; when that fails, another engine continues from the text that the caller already has, within the retry budget.
 */
final class EngineExchange {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_RESUMES = 3;
    private static final int NO_COUNT = -1;
    private static final Duration RESUME_LIMIT = Duration.ofSeconds(1);
    private static final long MIN_FIRST_SILENCE_MILLIS = 1_000;
    private static final long MIN_SILENCE_MILLIS = 500;
    private static final long BATCH_SILENCE_MILLIS = 10_000;
    private static final int FIRST_SILENCE_FACTOR = 4;
    private static final int SILENCE_FACTOR = 10;
    private static final Duration COME_BACK = Duration.ofMillis(500);

    private final RouterContext context;
    private final ModelRequest request;
    private final EnginePool pool;
    private final PlacementTarget target;
    private final String internalId = UUID.randomUUID().toString();
    private final Set<String> excluded = new HashSet<>();
    private final List<EngineEvent> given = new ArrayList<>();
    private Optional<SoftwareVersion> software = Optional.empty();
    private final long startedMillis;
    private EngineAttempt attempt;
    private PlacementChoice choice;
    private long dispatchedMillis;
    private long lostMillis;
    private int attempts;
    private int resumes;
    private int givenTokens;
    private int attemptTokens;
    private boolean sent;
    private boolean ended;
    private boolean accounted;

    EngineExchange(RouterContext context, ModelRequest request, EnginePool pool, PlacementTarget target) {
        this.context = context;
        this.request = request;
        this.pool = pool;
        this.target = target;
        this.startedMillis = context.clock().monotonicMillis();
    }

    /** Sends the request to the replica chosen. Completes with the first event. */
    Promise<EngineEvent> start(PlacementChoice chosen) {
        return dispatch(chosen).then(v -> next());
    }

    private Promise<Void> dispatch(PlacementChoice chosen) {
        attempts++;
        attemptTokens = 0;
        choice = chosen;
        dispatchedMillis = context.clock().monotonicMillis();
        pool.table().recordDispatch(request.chain(), chosen);
        String address = chosen.replica().address();
        log("dispatched", chosen.reason().name());
        attempt = new EngineAttempt(context, address, internalId + "." + attempts);
        String reported = chosen.replica().weights();
        String weights = reported.isEmpty() ? request.pool().weights() : reported;
        String body = EngineCall.body(request, weights, givenText(), givenTokens);
        return attempt.open(request.path(), body, firstSilence()).then(v -> Promise.complete(), this::recover);
    }

    /** Gives the next event, or null when the whole answer was passed on. Fails with {@link RefusedException}. */
    Promise<EngineEvent> next() {
        if (ended) {
            return Promise.of(null);
        }
        return attempt.next(attemptTokens == 0 ? firstSilence() : silence())
                .then(this::pass, e -> recover(e).then(v -> next()));
    }

    private Promise<EngineEvent> pass(StreamEvent event) {
        sent = true;
        if (event == null) {
            ended = true;
            context.quarantine().completed(request::fingerprint);
            if (!accounted) {
                pool.table().recordCompletion(choice, NO_COUNT);
            }
            return Promise.of(null);
        }
        if (event.end()) {
            return next();
        }
        EngineEvent passed = EngineEvent.of(event.data(), "chatcmpl-" + request.id());
        if (passed.hasText()) {
            countToken(passed);
        }
        return Promise.of(passed.hasUsage() ? account(passed.json()) : passed);
    }

    private void countToken(EngineEvent event) {
        if (attemptTokens == 0) {
            double elapsed = context.clock().monotonicMillis() - dispatchedMillis;
            pool.table().recordFirstToken(choice, elapsed);
        }
        if (givenTokens == 0) {
            software = Optional.of(choice.replica().software());
            firstTokenMetrics();
        }
        attemptTokens++;
        givenTokens++;
        given.add(event);
    }

    /** The text that the caller already has; put together only when another engine must continue it. */
    private String givenText() {
        return given.stream().map(EngineEvent::text).collect(Collectors.joining());
    }

    private void firstTokenMetrics() {
        long millis = context.clock().monotonicMillis() - startedMillis;
        String name = request.requestClass().name();
        context.health().firstToken(name, (double) millis);
        context.metrics()
                .time(
                        "hornbeam_first_token",
                        Duration.ofMillis(millis),
                        "class",
                        name,
                        "customer",
                        request.customer().name());
    }

    private EngineEvent account(ObjectNode json) {
        ObjectNode usage = (ObjectNode) json.get("usage");
        int prompt = usage.path("prompt_tokens").asInt();
        int cached = usage.path("prompt_tokens_details").path("cached_tokens").asInt();
        pool.table().recordCompletion(choice, cached);
        accounted = true;
        pool.retries().recordSuccess();
        String customer = request.customer().name();
        String name = request.requestClass().name();
        context.metrics().count("hornbeam_prompt_tokens", prompt, "class", name, "customer", customer);
        context.metrics().count("hornbeam_cached_tokens", cached, "class", name, "customer", customer);
        usage.put("completion_tokens", givenTokens);
        usage.put("total_tokens", prompt + givenTokens);
        return new EngineEvent(Json.write(json));
    }

    private Promise<Void> recover(Exception e) {
        if (!(e instanceof AttemptException failed) || ended) {
            return Promise.ofException(e);
        }
        log("failed", failed.failure().name() + ": " + failed.getMessage());
        context.metrics()
                .count("hornbeam_attempt_failures", "kind", failed.failure().name());
        boolean resumable = failed.failure() == AttemptFailure.LOST
                && resumes < MAX_RESUMES
                && context.availability().accepts(choice.replica().address());
        if (resumable) {
            resumes++;
            sent = true;
            lostMillis = context.clock().monotonicMillis();
            return attempt.resume(RESUME_LIMIT).then(v -> Promise.complete(), this::recover);
        }
        if (resumes > 0 && failed.failure() == AttemptFailure.NOT_SENT) {
            // The engine had the request, and now refuses connections: its process has ended.
            LostAttempt run = new LostAttempt(request.fingerprint(), dispatchedMillis, lostMillis);
            context.quarantine().crashed(run, choice.replica().address());
        }
        return elsewhere(failed);
    }

    private Promise<Void> elsewhere(AttemptException failed) {
        blame(failed.failure());
        pool.table().recordAbandoned(choice, attemptTokens > 0);
        if (failed.failure() == AttemptFailure.REJECTED) {
            context.quarantine().completed(request::fingerprint);
            return Promise.ofException(failed);
        }
        boolean worked = sent || failed.failure() == AttemptFailure.CORRUPT;
        attempt.cancel();
        excluded.add(choice.replica().address());
        boolean held = context.quarantine().heldMillis(request::fingerprint).isPresent();
        boolean allowed =
                !held && attempts < MAX_ATTEMPTS && (!worked || pool.retries().tryAcquire());
        Set<String> unusable = new HashSet<>(excluded);
        unusable.addAll(context.availability().unavailable());
        software.ifPresent(begun -> unusable.addAll(runningOtherSoftware(begun)));
        Optional<PlacementChoice> other =
                allowed ? pool.placement().choose(pool.table(), request.chain(), target, unusable) : Optional.empty();
        if (other.isEmpty()) {
            return Promise.ofException(new RefusedException(
                    worked
                            ? Refusals.unknown(Reason.ENDPOINT_LOST)
                            : Refusals.notRun(Reason.TRIES_EXHAUSTED, COME_BACK)));
        }
        resumes = 0;
        context.metrics().count("hornbeam_retries");
        return dispatch(other.get());
    }

    /** Returns the engines that may not continue a stream, since what two versions write does not fit together. */
    private Set<String> runningOtherSoftware(SoftwareVersion begun) {
        return pool.table().replicas().stream()
                .filter(r -> !r.software().equals(begun))
                .map(Replica::address)
                .collect(Collectors.toSet());
    }

    private void blame(AttemptFailure failure) {
        long now = context.clock().monotonicMillis();
        switch (failure) {
            case NOT_SENT -> choice.replica().outlier().recordConnectFailure(now);
            case LOST, CORRUPT -> choice.replica().outlier().recordFailure(now);
            case REFUSED, REJECTED -> {
                // The engine answered, which is no fault.
            }
        }
    }

    /** The caller has gone, or will get no more. */
    void cancel() {
        if (!ended) {
            ended = true;
            attempt.cancel();
            if (!accounted) {
                pool.table().recordAbandoned(choice, attemptTokens > 0);
            }
        }
    }

    private Duration firstSilence() {
        if (request.requestClass().batch()) {
            return Duration.ofMillis(BATCH_SILENCE_MILLIS);
        }
        double expected = Math.max(target.firstTokenMillis(), choice.firstTokenMillis());
        return Duration.ofMillis(Math.max(MIN_FIRST_SILENCE_MILLIS, (long) (FIRST_SILENCE_FACTOR * expected)));
    }

    private Duration silence() {
        if (request.requestClass().batch()) {
            return Duration.ofMillis(BATCH_SILENCE_MILLIS);
        }
        long between = request.requestClass().betweenTokens().toMillis();
        return Duration.ofMillis(Math.max(MIN_SILENCE_MILLIS, SILENCE_FACTOR * between));
    }

    private void log(String decision, String reason) {
        logger.atFine()
                .with(Logs.REQUEST, request.id())
                .with(Logs.CUSTOMER, request.customer().name())
                .with(Logs.CLASS, request.requestClass().name())
                .with(Logs.ATTEMPT, attempts)
                .with(Logs.REPLICA, choice.replica().address())
                .with(Logs.DECISION, decision)
                .with(Logs.REASON, reason)
                .log("attempt %s", decision);
    }

    /** Counts the attempts made, for the log. */
    int attempts() {
        return attempts;
    }

    /** Names the replica of the last attempt, for the log. */
    String replica() {
        return choice == null ? "" : choice.replica().address();
    }

    /** Tells whether any part of the answer was passed on. */
    boolean hasGiven() {
        return givenTokens > 0;
    }
}
