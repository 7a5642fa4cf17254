package org.hornbeamhead.gateway.dispatch;

import com.google.common.flogger.FluentLogger;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.core.engine.LoadHint;
import org.hornbeamhead.core.entry.ActiveRouters;
import org.hornbeamhead.core.forward.FinalAnswer;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.WholeRequest;
import org.hornbeamhead.core.retry.SharedRetryBudget;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.core.route.ServiceSpec;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.caller.CallerAnswer;
import org.hornbeamhead.gateway.caller.CallerHandler;
import org.hornbeamhead.gateway.quarantine.Quarantine;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.RoutingState;
import org.hornbeamhead.gateway.state.WeightsView;
import org.hornbeamhead.gateway.state.WorkHints;

/** Answers callers: decodes, identifies, and hands each request to an exchange with replicas. */
public final class Dispatcher implements CallerHandler {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    /** A router that has waited for its first configuration in vain may have one soon; others may have it now. */
    private static final long NOT_READY_RETRY_MILLIS = 100;
    /** A view that may be old is renewed by the next waiting read, or by another router. */
    private static final long UNSURE_RETRY_MILLIS = 500;

    /** Callers that are refused together come back over this time at most. */
    private static final long MAX_SPREAD_MILLIS = 5_000;

    /** Another router is ready at once; a moment lets the caller's next answer name it. */
    private static final long ELSEWHERE_RETRY_MILLIS = 20;

    private final NioReactor reactor;
    private final Clock clock;
    private final WireDialect dialect;
    private final RoutingState state;
    private final ReplicaRegistry registry;
    private final Metrics metrics;
    private final RandomGenerator random;
    private final TargetPicker picker;
    private final EarlyRequests early;
    private final BeginLimits beginLimits;
    private final BudgetLimits budgetLimits;
    private final ActiveRouters routers;
    private final Quarantine quarantine;
    private final RequestsUnderWay underWay = new RequestsUnderWay();
    private WorkHints hints;
    private final Map<String, SharedRetryBudget> budgets = new HashMap<>();

    /**
     * The budget of repeats that all routers share.
     *
     * @param ratio repeats allowed a request
     * @param slack repeats allowed besides, over all routers and the window
     * @param window the window
     */
    public record BudgetLimits(double ratio, double slack, Duration window) {}

    /**
     * What the dispatcher works with.
     *
     * @param reactor the thread's reactor
     * @param clock the clock
     * @param dialect the header lines
     * @param state the configuration in force
     * @param registry the replicas
     * @param weights the named weights
     * @param metrics the process's metrics
     * @param random the source of randomness
     * @param dataCentre where this router stands
     * @param inherits whether the system has served before this router started
     * @param budgetLimits the shared budget of repeats
     * @param routers the routers with which limits are shared
     * @param quarantine which requests may not run
     */
    public record Parts(
            NioReactor reactor,
            Clock clock,
            WireDialect dialect,
            RoutingState state,
            ReplicaRegistry registry,
            WeightsView weights,
            Metrics metrics,
            RandomGenerator random,
            String dataCentre,
            boolean inherits,
            BudgetLimits budgetLimits,
            ActiveRouters routers,
            Quarantine quarantine) {}

    /**
     * Makes a dispatcher.
     *
     * @param parts what it works with
     */
    public Dispatcher(Parts parts) {
        this.reactor = parts.reactor();
        this.clock = parts.clock();
        this.dialect = parts.dialect();
        this.state = parts.state();
        this.registry = parts.registry();
        this.metrics = parts.metrics();
        this.random = parts.random();
        this.budgetLimits = parts.budgetLimits();
        this.routers = parts.routers();
        this.quarantine = parts.quarantine();
        quarantine.onHeld(underWay::held);
        Timers timers = (delay, action) -> reactor.delayBackground(delay, action);
        WeightsView weights = parts.weights();
        this.early = new EarlyRequests(timers);
        this.beginLimits =
                new BeginLimits(timers, w -> weights.usableMillis(w.model(), w.version(), clock.monotonicMillis()));
        this.picker = new TargetPicker(clock, registry, weights, parts.dataCentre(), parts.inherits());
    }

    @Override
    public void handle(WholeRequest whole, CallerAnswer answer) {
        CallerRequest request = dialect.read(whole);
        long arrivedAt = clock.monotonicMillis();
        if (state.config().isPresent()) {
            route(state.config().get(), request, answer, arrivedAt);
        } else {
            early.hold(
                    () -> route(state.config().orElseThrow(), request, answer, arrivedAt),
                    () -> refuseUnrun(request, answer, "no configuration yet", NOT_READY_RETRY_MILLIS));
        }
    }

    /** The first configuration is known. */
    public void configured() {
        early.release();
    }

    private void route(RoutingConfig config, CallerRequest request, CallerAnswer answer, long arrivedAt) {
        Optional<Route> route =
                config.route(request.host(), request.whole().head().path());
        if (route.isEmpty()) {
            deny(request, answer, NOT_FOUND, "no route");
            return;
        }
        Optional<KeyOwner> owner = request.key().flatMap(config::owner);
        if (owner.isEmpty() && config.needsKeys() && !route.get().open()) {
            deny(request, answer, UNAUTHORIZED, "no customer has this key");
            return;
        }
        if (request.id().isEmpty()) {
            answer(request, answer, BAD_REQUEST, "the request names no id", Headers.NONE);
            return;
        }
        forward(new Asked(config, route.get(), owner, request, arrivedAt), answer);
    }

    /**
     * Answers that a request has not run and may be sent to another router at once.
     *
     * @param whole the request
     * @param answer takes the answer
     * @param why for the caller
     */
    public void giveBack(WholeRequest whole, CallerAnswer answer, String why) {
        refuseUnrun(dialect.read(whole), answer, why, ELSEWHERE_RETRY_MILLIS);
    }

    private void forward(Asked asked, CallerAnswer answer) {
        String name = asked.route().serviceFor(draw(asked.request().id()));
        Optional<ServiceSpec> service = asked.config().service(name);
        if (service.isEmpty()) {
            refuseUnrun(asked.request(), answer, "service " + name + " is not configured", UNSURE_RETRY_MILLIS);
            return;
        }
        budget(name).requested(clock.monotonicMillis());
        routers.recordRequest(clock.monotonicMillis());
        new Exchange(this, new Subject(asked, service.get()), answer).start();
    }

    /** Spreads ids over all values, since their own bits may be a counter. */
    private static long draw(String id) {
        return id.chars().asLongStream().reduce(17, (h, c) -> h * 1_000_003 + c) >>> 8;
    }

    private SharedRetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                s -> new SharedRetryBudget(
                        budgetLimits.ratio(),
                        budgetLimits.slack(),
                        budgetLimits.window().toMillis()));
    }

    boolean takeRepeat(String service) {
        return budget(service).tryTake(clock.monotonicMillis(), routers.limitShare());
    }

    boolean mayRepeat(String service) {
        return budget(service).canTake(clock.monotonicMillis(), routers.limitShare());
    }

    void sentToEngine(LiveReplica replica, EngineChoice choice) {
        noteSent(replica, choice.prefixHash(), choice.storeMillis());
        hints.sent(replica, choice);
    }

    /**
     * Takes over that another router sent a request to an engine.
     *
     * @param replica the engine
     * @param sent what it was sent
     */
    public void hinted(LiveReplica replica, LoadHint.SentRequest sent) {
        noteSent(replica, sent.prefixHash(), sent.storeMillis());
    }

    private void noteSent(LiveReplica replica, long beginning, double storeMillis) {
        state.config().ifPresent(c -> picker.sent(c, replica, beginning, storeMillis));
    }

    /**
     * Passes on what this router sends.
     *
     * @param to takes it
     */
    public void tell(WorkHints to) {
        hints = to;
    }

    /**
     * Denies what the configuration does not allow.
     *
     * <p>Failure: this router has not heard of the store for a while, and the configuration has moved on. Symptom: a
     * caller with a new key is turned away for good. While the view may be old, the refusal says to come back.
     */
    private void deny(CallerRequest request, CallerAnswer answer, int status, String why) {
        if (state.surelyFresh(clock.monotonicMillis())) {
            answer(request, answer, status, why, Headers.NONE);
        } else {
            refuseUnrun(request, answer, why + " in a configuration that may be old", UNSURE_RETRY_MILLIS);
        }
    }

    void refuseUnrun(CallerRequest request, CallerAnswer answer, String why, long retryAfterMillis) {
        long spread = retryAfterMillis + random.nextLong(Math.min(retryAfterMillis, MAX_SPREAD_MILLIS) + 1);
        Headers headers = Headers.NONE.with("Retry-After", String.format(Locale.ROOT, "%.3f", spread / 1000.0));
        answer(request, answer, FinalAnswer.NOT_RUN.status(), why, headers);
    }

    void answer(CallerRequest request, CallerAnswer answer, int status, String why, Headers headers) {
        metrics.count("hornbeam_own_answers", "status", Integer.toString(status));
        logger.atInfo()
                .with(Logs.REQUEST, request.id())
                .with(Logs.DECISION, "own answer " + status)
                .with(Logs.REASON, why)
                .with(Logs.INPUTS, state.inputs(clock.monotonicMillis()))
                .log("answered %d", status);
        byte[] body = (why + "\n").getBytes(StandardCharsets.UTF_8);
        answer.respond(status, headers.with("Content-Type", "text/plain"), body);
    }

    NioReactor reactor() {
        return reactor;
    }

    Clock clock() {
        return clock;
    }

    WireDialect dialect() {
        return dialect;
    }

    TargetPicker picker() {
        return picker;
    }

    Quarantine quarantine() {
        return quarantine;
    }

    RequestsUnderWay underWay() {
        return underWay;
    }

    BeginLimits beginLimits() {
        return beginLimits;
    }

    Metrics metrics() {
        return metrics;
    }

    /** This router's part of a limit that holds for all of them. */
    int part(int limit) {
        return (int) (limit * routers.limitShare());
    }
}
