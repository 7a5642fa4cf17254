package org.hornbeamhead.gateway.dispatch;

import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.core.engine.LoadHint;
import org.hornbeamhead.core.entry.ActiveRouters;
import org.hornbeamhead.core.forward.RefusalReason;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.WholeRequest;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.core.route.ServiceSpec;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.availability.ReplicaAvailability;
import org.hornbeamhead.gateway.availability.ReplicaNotices;
import org.hornbeamhead.gateway.caller.CallerHandler;
import org.hornbeamhead.gateway.caller.CallerResponse;
import org.hornbeamhead.gateway.explain.ExplainQuery;
import org.hornbeamhead.gateway.explain.Explanation;
import org.hornbeamhead.gateway.limit.BrittleReplicas;
import org.hornbeamhead.gateway.limit.ReplicaLimits;
import org.hornbeamhead.gateway.path.RelayHeaders;
import org.hornbeamhead.gateway.path.RelayRouters;
import org.hornbeamhead.gateway.path.ReplicaPaths;
import org.hornbeamhead.gateway.quarantine.Quarantine;
import org.hornbeamhead.gateway.quota.QuotaGate;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.resume.StreamOriginDirectory;
import org.hornbeamhead.gateway.state.LoadHints;
import org.hornbeamhead.gateway.state.LoadStatements;
import org.hornbeamhead.gateway.state.RoutingState;
import org.hornbeamhead.gateway.state.WeightsView;

/**
 * Handles requests of callers: decodes each request, finds its route and customer, and starts an exchange with
 * replicas.
 */
public final class Dispatcher implements CallerHandler {
    private static final int BAD_REQUEST = 400;
    static final int UNAUTHORIZED = 401;
    static final int NOT_FOUND = 404;
    /**
     * Retry delay while there is no configuration. This router may load one soon, and other routers may have one
     * already.
     */
    static final long NOT_READY_RETRY_MILLIS = 100;
    /**
     * Retry delay when another router can take the request at once; the short delay lets the next address lookup of the
     * caller return that router.
     */
    static final long OTHER_ROUTER_RETRY_MILLIS = 20;
    /** Retry delay when nobody knows which software began a stream; other routers may be back in touch by then. */
    private static final long UNKNOWN_ORIGIN_RETRY_MILLIS = 300;

    private final NioReactor reactor;
    private final Clock clock;
    private final HeaderCodec headerCodec;
    private final RoutingState state;
    private final ReplicaRegistry registry;
    private final Metrics metrics;
    private final TargetSelector targetSelector;
    private final StartupQueue startupQueue;
    private final WeightsExpiryMonitor weightsExpiry;
    private final ActiveRouters routers;
    private final Quarantine quarantine;
    private final QuotaGate quotas;
    private final ReplicaLimits replicaLimits;
    private final ReplicaAvailability availability;
    private final ReplicaStatements statements;
    private final BrittleReplicas brittleReplicas;
    private final ReplicaPaths paths;
    private final RelayRouters relayRouters;
    private final StreamResumptions resumptions;
    private final InFlightRequests inFlight = new InFlightRequests();
    private final DeferredRequests deferred;
    private final StopAdmission stopAdmission;
    private LoadHints loadHints;
    private final RetryBudgets retryBudgets;
    private final OwnAnswers answers;

    /**
     * Limits of the retry budget that all routers share.
     *
     * @param ratio retries allowed per request
     * @param slack additional retries allowed, over all routers and the window
     * @param window the sliding window
     */
    public record RetryBudgetLimits(double ratio, double slack, Duration window) {}

    /**
     * The dependencies of a dispatcher.
     *
     * @param reactor the reactor of the current thread
     * @param clock the clock
     * @param headerCodec decodes and encodes headers
     * @param state the current configuration
     * @param registry the replicas
     * @param weights the released weights versions
     * @param metrics the metrics of the process
     * @param random the source of randomness
     * @param dataCentre the data centre of this router
     * @param priorTraffic whether the system may have served requests before this router started
     * @param budgetLimits the limits of the shared retry budget
     * @param routers the routers that share limits
     * @param quarantine the quarantined requests
     * @param quotas the quotas of customers
     * @param replicaLimits the request limits that replicas state
     * @param brittleReplicas the limits of brittle replicas
     * @param loadStatements the load that replicas state
     * @param paths the paths of this host to replicas
     * @param relayRouters the routers to which requests are handed when there is no path
     * @param streamOrigins tells which software began streams
     */
    public record Dependencies(
            NioReactor reactor,
            Clock clock,
            HeaderCodec headerCodec,
            RoutingState state,
            ReplicaRegistry registry,
            WeightsView weights,
            Metrics metrics,
            RandomGenerator random,
            String dataCentre,
            boolean priorTraffic,
            RetryBudgetLimits budgetLimits,
            ActiveRouters routers,
            Quarantine quarantine,
            QuotaGate quotas,
            ReplicaLimits replicaLimits,
            BrittleReplicas brittleReplicas,
            LoadStatements loadStatements,
            ReplicaPaths paths,
            RelayRouters relayRouters,
            StreamOriginDirectory streamOrigins) {}

    /**
     * Creates a dispatcher.
     *
     * @param dependencies the dependencies
     */
    public Dispatcher(Dependencies dependencies) {
        this.reactor = dependencies.reactor();
        this.clock = dependencies.clock();
        this.headerCodec = dependencies.headerCodec();
        this.state = dependencies.state();
        this.registry = dependencies.registry();
        this.metrics = dependencies.metrics();
        this.routers = dependencies.routers();
        this.retryBudgets = new RetryBudgets(clock, dependencies.budgetLimits(), routers, dependencies.priorTraffic());
        this.answers = new OwnAnswers(clock, state, metrics, dependencies.random());
        this.stopAdmission = new StopAdmission(answers);
        this.quarantine = dependencies.quarantine();
        this.quotas = dependencies.quotas();
        this.replicaLimits = dependencies.replicaLimits();
        this.brittleReplicas = dependencies.brittleReplicas();
        this.statements = new ReplicaStatements(
                headerCodec,
                replicaLimits,
                brittleReplicas,
                new ReplicaNotices(clock, metrics),
                dependencies.loadStatements(),
                new UnknownHeaders(headerCodec, metrics));
        this.paths = dependencies.paths();
        this.relayRouters = dependencies.relayRouters();
        this.resumptions = new StreamResumptions(dependencies.streamOrigins());
        this.availability =
                new ReplicaAvailability(clock, replicaLimits, brittleReplicas, paths, relayRouters::isRouterAddress);
        quarantine.onQuarantined(inFlight::cancelQuarantined);
        Timers timers = (delay, action) -> reactor.delayBackground(delay, action);
        WeightsView weights = dependencies.weights();
        this.startupQueue = new StartupQueue(timers);
        this.deferred = new DeferredRequests(clock, timers, metrics, () -> routers.fleetRate(clock.monotonicMillis()));
        this.weightsExpiry = new WeightsExpiryMonitor(
                timers, v -> weights.usableMillis(v.model(), v.version(), clock.monotonicMillis()));
        this.targetSelector = new TargetSelector(
                clock, registry, availability, weights, state, dependencies.dataCentre(), dependencies.priorTraffic());
    }

    @Override
    public void handle(WholeRequest message, CallerResponse response) {
        CallerRequest request = headerCodec.decodeRequest(message);
        long arrivedAt = clock.monotonicMillis();
        if (state.config().isPresent()) {
            routeRequest(state.config().get(), request, response, arrivedAt, Optional.empty());
        } else {
            startupQueue.add(
                    () -> routeRequest(state.config().orElseThrow(), request, response, arrivedAt, Optional.empty()),
                    () -> answers.rejectNotExecuted(
                            request,
                            response,
                            Refusal.beforeRouting(RefusalReason.NO_CONFIGURATION),
                            "no configuration yet",
                            NOT_READY_RETRY_MILLIS));
        }
    }

    /**
     * Handles a request that another router handed over. It is declined by a router with an older configuration, since
     * the host that received the request would otherwise fall back to it.
     *
     * @param message the request
     * @param response receives the response
     */
    public void handleRelayed(WholeRequest message, CallerResponse response) {
        RelayHeaders.Origin origin = RelayHeaders.origin(message.head().headers());
        CallerRequest request = headerCodec.decodeRequest(
                message.withHeaders(RelayHeaders.withoutOrigin(message.head().headers())));
        metrics.count("hornbeam_requests_of_routers");
        state.config()
                .filter(c -> c.version() >= origin.configurationVersion())
                .ifPresentOrElse(
                        c -> routeRequest(c, request, response, clock.monotonicMillis(), Optional.of(origin)),
                        () -> answers.decline(request, response, "the configuration is older or missing"));
    }

    /**
     * Declines a request of another router. It has not run, and a third router may take it.
     *
     * @param message the request
     * @param response receives the response
     * @param reason the reason, sent to the other router
     */
    public void declineRelayed(WholeRequest message, CallerResponse response, String reason) {
        answers.decline(headerCodec.decodeRequest(message), response, reason);
    }

    /** Serves the requests that were queued until the first configuration was loaded. */
    public void configurationLoaded() {
        startupQueue.release();
    }

    private void routeRequest(
            RoutingConfig config,
            CallerRequest request,
            CallerResponse response,
            long arrivedAt,
            Optional<RelayHeaders.Origin> origin) {
        Optional<Route> route =
                config.findRoute(request.host(), request.message().head().path());
        if (route.isEmpty()) {
            answers.deny(request, response, NOT_FOUND, "no route");
            return;
        }
        Optional<KeyOwner> owner = request.key().flatMap(config::findKeyOwner);
        if (owner.isEmpty() && config.requiresKeys() && !route.get().allowsAnonymous()) {
            answers.deny(request, response, UNAUTHORIZED, "no customer has this key");
            return;
        }
        if (request.id().isEmpty()) {
            answers.respond(request, response, BAD_REQUEST, "the request names no id", Headers.NONE);
            return;
        }
        RoutedRequest routed = new RoutedRequest(config, route.get(), owner, request, arrivedAt, origin);
        if (stopAdmission.mayCut(routed)) {
            stopAdmission.leave(routed, response);
        } else {
            forward(routed, response);
        }
    }

    /**
     * Rejects a request that has not run and that the caller may send to another router at once.
     *
     * @param message the request
     * @param response receives the response
     * @param why the reason, for the metrics
     * @param reason the reason, sent to the caller
     */
    public void rejectForOtherRouter(WholeRequest message, CallerResponse response, RefusalReason why, String reason) {
        stopAdmission.reject(headerCodec.decodeRequest(message), response, why, reason);
    }

    private void forward(RoutedRequest routed, CallerResponse response) {
        String name = routed.service();
        Optional<ServiceSpec> service = routed.config().findService(name);
        if (service.isEmpty()) {
            answers.refuse(
                    routed,
                    response,
                    RefusalReason.STALE_CONFIGURATION,
                    "service " + name + " is not configured",
                    OwnAnswers.STALE_RETRY_MILLIS);
            return;
        }
        ServiceRequest request = new ServiceRequest(routed, service.get());
        if (paths.isLost(name) && !isQuarantined(request) && leaveToOtherRouter(routed, name, response)) {
            return;
        }
        routers.recordRequest(clock.monotonicMillis());
        if (routed.resumesStream()) {
            metrics.count("hornbeam_streams_resumed", "route", routed.route().name());
            resumptions.find(routed, name, response, software -> resume(request, response, software));
        } else {
            admit(request, response, Optional.empty());
        }
    }

    private boolean isQuarantined(ServiceRequest request) {
        return new RequestContent(request, quarantine, brittleReplicas)
                .quarantineMillis()
                .isPresent();
    }

    private void resume(ServiceRequest request, CallerResponse response, Optional<SoftwareVersion> software) {
        if (software.isPresent()) {
            admit(request, response, software);
        } else {
            answers.refuse(
                    request.routed(),
                    response,
                    RefusalReason.UNKNOWN_STREAM,
                    "it is not known which software began the stream",
                    UNKNOWN_ORIGIN_RETRY_MILLIS);
        }
    }

    private void admit(ServiceRequest request, CallerResponse response, Optional<SoftwareVersion> software) {
        RoutedRequest routed = request.routed();
        quotas.admit(routed.quotaOwner(), routed.callerRequest().tokenCount())
                .peek(decision -> decision.filter(d -> !d.admitted())
                        .ifPresentOrElse(
                                d -> answers.rejectOverQuota(routed, response, d),
                                () -> startExchange(request, response, software)))
                .peekLeft(
                        reason -> answers.respond(routed.callerRequest(), response, BAD_REQUEST, reason, Headers.NONE));
    }

    /** Leaves a request to another router if there is one that may take it, and returns whether it did. */
    private boolean leaveToOtherRouter(RoutedRequest routed, String service, CallerResponse response) {
        if (routed.origin().isPresent()) {
            answers.decline(routed.callerRequest(), response, "no path to the service");
            return true;
        }
        if (!relayRouters.isAvailable(service, Set.of())) {
            return false;
        }
        RelayedRequest.ofUnsent(this, routed, service, response).start();
        return true;
    }

    private void startExchange(ServiceRequest request, CallerResponse response, Optional<SoftwareVersion> software) {
        if (!request.routed().isRepeat()) {
            retryBudgets.recordRequest(request.service().name());
        }
        new Exchange(this, request, response, software).start();
    }

    /**
     * Explains what would be done with a new request now, and changes nothing.
     *
     * @param query the request
     * @param stopping whether this router rejects new requests because it is about to end
     * @return the explanation
     */
    public Explanation explain(ExplainQuery query, boolean stopping) {
        return new DecisionExplainer(this, state).explain(query, stopping);
    }

    void recordEngineSend(LiveReplica replica, EngineChoice choice) {
        recordSend(replica, choice.prefixHash(), choice.storeMillis());
        loadHints.recordSent(replica, choice);
    }

    /**
     * Records that another router sent a request to an engine.
     *
     * @param replica the engine
     * @param hint the request that was sent
     */
    public void recordPeerSend(LiveReplica replica, LoadHint.SentRequest hint) {
        recordSend(replica, hint.prefixHash(), hint.storeMillis());
    }

    private void recordSend(LiveReplica replica, long beginning, double storeMillis) {
        state.config().ifPresent(c -> targetSelector.recordSent(c, replica, beginning, storeMillis));
    }

    /**
     * Sets the channel that announces the requests of this router to other routers.
     *
     * @param hintExchange the channel
     */
    public void setLoadHints(LoadHints hintExchange) {
        loadHints = hintExchange;
    }

    /** Tries the deferred requests again, since another router told of its load. */
    public void loadReported() {
        deferred.retry();
    }

    /**
     * Refuses the deferred requests, which have not run, and from now on those that must not be cut and may last longer
     * than the process.
     *
     * @param processEndMillis when the process ends at the latest, on the monotonic clock
     */
    public void stop(long processEndMillis) {
        stopAdmission.stop(processEndMillis);
        deferred.stop();
    }

    DeferredRequests deferred() {
        return deferred;
    }

    NioReactor reactor() {
        return reactor;
    }

    Clock clock() {
        return clock;
    }

    OwnAnswers answers() {
        return answers;
    }

    RetryBudgets retryBudgets() {
        return retryBudgets;
    }

    HeaderCodec headerCodec() {
        return headerCodec;
    }

    TargetSelector targetSelector() {
        return targetSelector;
    }

    Quarantine quarantine() {
        return quarantine;
    }

    QuotaGate quotas() {
        return quotas;
    }

    ReplicaAvailability availability() {
        return availability;
    }

    BrittleReplicas brittleReplicas() {
        return brittleReplicas;
    }

    ReplicaPaths paths() {
        return paths;
    }

    RelayRouters relayRouters() {
        return relayRouters;
    }

    ReplicaStatements statements() {
        return statements;
    }

    /** Finds a run of a replica by its name. */
    Optional<LiveReplica> findReplica(String run) {
        return registry.byRun(run);
    }

    ReplicaLimits replicaLimits() {
        return replicaLimits;
    }

    StreamResumptions resumptions() {
        return resumptions;
    }

    InFlightRequests inFlight() {
        return inFlight;
    }

    WeightsExpiryMonitor weightsExpiry() {
        return weightsExpiry;
    }

    Metrics metrics() {
        return metrics;
    }

    /** Returns the share of this router in a limit that applies to all routers together. */
    int localShare(int limit) {
        return (int) (limit * routers.limitShare(clock.monotonicMillis()));
    }
}
