package org.hornbeamhead.router;

import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Optional;
import org.hornbeamhead.core.admission.AdmissionDecision;
import org.hornbeamhead.core.outcome.Outcome;
import org.hornbeamhead.core.outcome.Reason;
import org.hornbeamhead.core.placement.PlacementChoice;
import org.hornbeamhead.core.placement.PlacementTarget;
import org.hornbeamhead.core.placement.Replica;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.HttpReply;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.daemon.Logs;

/** The way of a model request: decode, admit, place, dispatch, relay, account. */
final class ModelPipeline {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int BODY_LIMIT = 8 << 20;
    private static final Duration PUMP_EVERY = Duration.ofMillis(20);
    private static final Duration COME_BACK = Duration.ofMillis(500);
    private static final Duration BATCH_COME_BACK = Duration.ofSeconds(10);
    private static final long BATCH_MARGIN_MILLIS = 30_000;
    private static final long BATCH_TOKEN_MILLIS = 100;
    private static final double BATCH_TARGET_MILLIS = 60_000;

    private final RouterContext context;
    private final PoolDirectory pools;
    private final RunningRequests running;

    ModelPipeline(RouterContext context, PoolDirectory pools, RunningRequests running) {
        this.context = context;
        this.pools = pools;
        this.running = running;
        context.timers().schedule(PUMP_EVERY.toMillis(), this::pump);
    }

    Promise<HttpResponse> serve(HttpRequest http) {
        RequestHead head = RequestHead.of(http);
        Optional<Refusal> closed = running.refusal();
        if (closed.isPresent()) {
            return refuse(head, closed.get());
        }
        running.started();
        return http.loadBody(BODY_LIMIT)
                .then(buf -> decode(head, buf.getString(StandardCharsets.UTF_8)))
                .whenException(e -> running.ended());
    }

    private Promise<HttpResponse> decode(RequestHead head, String body) {
        return ModelRequestDecoder.decode(context.config().config(), head, body)
                .fold(refusal -> refuseRunning(head, refusal), this::admit);
    }

    private Promise<HttpResponse> admit(ModelRequest request) {
        Optional<Refusal> held = heldBack(request);
        if (held.isPresent()) {
            return refuseRunning(request, held.get());
        }
        EnginePool pool = pools.engines(request.pool());
        return request.requestClass().batch() ? waitForSlack(request, pool) : admitInteractive(request, pool);
    }

    private Optional<Refusal> heldBack(ModelRequest request) {
        return context.quarantine().heldMillis(request::fingerprint).stream()
                .mapToObj(millis -> Refusals.notRun(Reason.HELD_BACK, Duration.ofMillis(millis)))
                .findFirst();
    }

    private Promise<HttpResponse> admitInteractive(ModelRequest request, EnginePool pool) {
        PlacementTarget target =
                new PlacementTarget(request.requestClass().firstToken().toMillis(), false);
        Optional<PlacementChoice> choice = pool.placement()
                .choose(
                        pool.table(),
                        request.chain(),
                        target,
                        context.availability().unavailable());
        if (choice.isEmpty()) {
            return refuseRunning(request, unplaced(pool));
        }
        AdmissionDecision decision = pool.admission()
                .decideInteractive(
                        request.customer().name(),
                        target,
                        choice.get(),
                        context.clock().monotonicMillis());
        if (decision instanceof AdmissionDecision.Refuse refuse) {
            return refuseRunning(request, Refusals.notRun(refuse.reason(), refuse.retryAfter()));
        }
        return relay(request, pool, target, choice.get());
    }

    private Promise<HttpResponse> waitForSlack(ModelRequest request, EnginePool pool) {
        SettablePromise<HttpResponse> answer = new SettablePromise<>();
        Instant now = Instant.ofEpochMilli(context.clock().wallMillis());
        long left = request.requestClass()
                .timeLeft(now.atZone(ZoneOffset.UTC), context.config().config().zone())
                .toMillis();
        long latestStart = context.clock().monotonicMillis()
                + left
                - BATCH_MARGIN_MILLIS
                - request.maxTokens() * BATCH_TOKEN_MILLIS;
        BatchWait waiting =
                new BatchWait(request, () -> startBatch(request, pool).subscribe(answer::set));
        if (!pool.batch().offer(waiting, latestStart)) {
            return refuseRunning(request, Refusals.notRun(Reason.ROUTER_FULL, BATCH_COME_BACK));
        }
        return answer;
    }

    /** A batch request may have waited for long, and what it does to replicas may have shown meanwhile. */
    private Promise<HttpResponse> startBatch(ModelRequest request, EnginePool pool) {
        Optional<Refusal> held = heldBack(request);
        if (held.isPresent()) {
            return refuseRunning(request, held.get());
        }
        PlacementTarget target = batchTarget();
        return pool.placement()
                .choose(
                        pool.table(),
                        request.chain(),
                        target,
                        context.availability().unavailable())
                .map(choice -> relay(request, pool, target, choice))
                .orElseGet(() -> refuseRunning(request, unplaced(pool)));
    }

    private Refusal unplaced(EnginePool pool) {
        long now = context.clock().monotonicMillis();
        List<String> usable = pool.table().replicas().stream()
                .filter(r -> r.acceptsWork(now))
                .map(Replica::address)
                .toList();
        return context.availability()
                .bookReturn(usable)
                .map(refused -> Refusals.notRun(refused.reason(), refused.retryAfter()))
                .orElseGet(() -> Refusals.notRun(Reason.NO_REPLICA, COME_BACK));
    }

    private static PlacementTarget batchTarget() {
        return new PlacementTarget(BATCH_TARGET_MILLIS, true);
    }

    private void pump() {
        context.timers().schedule(PUMP_EVERY.toMillis(), this::pump);
        pools.engines().forEach(this::pump);
    }

    private void pump(EnginePool pool) {
        boolean more = true;
        while (more && pool.batch().peek().isPresent()) {
            BatchWait next = pool.batch().peek().get();
            more = mayStart(pool, next);
            if (more) {
                pool.batch().poll();
                next.start().run();
            }
        }
    }

    private boolean mayStart(EnginePool pool, BatchWait next) {
        long now = context.clock().monotonicMillis();
        boolean pressing = pool.batch().isUrgent(now);
        double tightest = context.config().config().tightestFirstTokenMillis();
        return pool.placement()
                .choose(
                        pool.table(),
                        next.request().chain(),
                        batchTarget(),
                        context.availability().unavailable())
                .map(choice -> pool.admission().decideBatch(tightest, choice, pressing, now))
                .map(AdmissionDecision.Admit.class::isInstance)
                .orElse(pressing);
    }

    private Promise<HttpResponse> relay(
            ModelRequest request, EnginePool pool, PlacementTarget target, PlacementChoice choice) {
        EngineExchange exchange = new EngineExchange(context, request, pool, target);
        return exchange.start(choice)
                .then(first -> answer(request, exchange, first), e -> failed(request, exchange, e));
    }

    private Promise<HttpResponse> answer(ModelRequest request, EngineExchange exchange, EngineEvent first) {
        if (request.stream()) {
            return HttpResponse.ok200()
                    .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                    .withHeader(HttpHeaders.of("X-Request-Id"), request.id())
                    .withBodyStream(new CallerStream(exchange, request.id(), first, o -> settled(request, exchange, o)))
                    .toPromise();
        }
        return new WholeAnswer(request)
                .collect(exchange, first)
                .then(
                        whole -> {
                            settled(request, exchange, new Outcome.Completed(200));
                            return HttpResponse.ok200()
                                    .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                                    .withHeader(HttpHeaders.of("X-Request-Id"), request.id())
                                    .withHeader(Refusals.OUTCOME, "completed")
                                    .withBody(Json.write(whole).getBytes(StandardCharsets.UTF_8))
                                    .toPromise();
                        },
                        e -> failed(request, exchange, e));
    }

    private Promise<HttpResponse> failed(ModelRequest request, EngineExchange exchange, Exception e) {
        if (e instanceof AttemptException rejected && rejected.failure() == AttemptFailure.REJECTED) {
            HttpReply reply = rejected.reply();
            settled(request, exchange, new Outcome.Completed(reply.status()));
            return HttpAnswers.text(reply.status(), "application/json", reply.body());
        }
        Refusal refusal =
                e instanceof RefusedException refused ? refused.refusal() : Refusals.unknown(Reason.ENDPOINT_LOST);
        settled(request, exchange, refusal.outcome());
        return Refusals.answer(request.id(), refusal);
    }

    private void settled(ModelRequest request, EngineExchange exchange, Outcome outcome) {
        running.ended();
        count(request, outcome);
        logger.atInfo()
                .with(Logs.REQUEST, request.id())
                .with(Logs.CUSTOMER, request.customer().name())
                .with(Logs.CLASS, request.requestClass().name())
                .with(Logs.ATTEMPT, exchange.attempts())
                .with(Logs.REPLICA, exchange.replica())
                .with(Logs.DECISION, Refusals.outcomeName(outcome))
                .with(
                        Logs.REASON,
                        outcome instanceof Outcome.Completed
                                ? ""
                                : Refusals.reason(outcome).wireName())
                .log("model request settled");
    }

    private void count(ModelRequest request, Outcome outcome) {
        context.metrics()
                .count(
                        "hornbeam_requests",
                        "class",
                        request.requestClass().name(),
                        "customer",
                        request.customer().name(),
                        "outcome",
                        Refusals.outcomeName(outcome));
    }

    private Promise<HttpResponse> refuseRunning(ModelRequest request, Refusal refusal) {
        running.ended();
        count(request, refusal.outcome());
        logger.atInfo()
                .with(Logs.REQUEST, request.id())
                .with(Logs.CUSTOMER, request.customer().name())
                .with(Logs.CLASS, request.requestClass().name())
                .with(Logs.DECISION, "refused")
                .with(Logs.REASON, Refusals.reason(refusal.outcome()).wireName())
                .log("model request refused");
        return Refusals.answer(request.id(), refusal);
    }

    private Promise<HttpResponse> refuseRunning(RequestHead head, Refusal refusal) {
        running.ended();
        return refuse(head, refusal);
    }

    private Promise<HttpResponse> refuse(RequestHead head, Refusal refusal) {
        context.metrics()
                .count(
                        "hornbeam_refusals",
                        "reason",
                        Refusals.reason(refusal.outcome()).wireName());
        return Refusals.answer(head.id(), refusal);
    }
}
