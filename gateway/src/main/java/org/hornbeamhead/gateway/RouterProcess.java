package org.hornbeamhead.gateway;

import com.google.common.flogger.FluentLogger;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.hornbeamhead.core.crash.CrashGossip;
import org.hornbeamhead.core.entry.ActiveRouters;
import org.hornbeamhead.core.forward.RefusalReason;
import org.hornbeamhead.core.http.WholeRequest;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.quota.QuotaContacts;
import org.hornbeamhead.core.quota.QuotaLedger;
import org.hornbeamhead.core.route.CallerLimits;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.core.route.ServiceSpec;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.caller.CallerResponse;
import org.hornbeamhead.gateway.caller.CallerServer;
import org.hornbeamhead.gateway.dispatch.Dispatcher;
import org.hornbeamhead.gateway.dispatch.HeaderCodec;
import org.hornbeamhead.gateway.dispatch.RetryTokenExchange;
import org.hornbeamhead.gateway.duty.LeaderTasks;
import org.hornbeamhead.gateway.duty.PeerChangeNotifier;
import org.hornbeamhead.gateway.duty.ReplicaOrderClient;
import org.hornbeamhead.gateway.explain.ExplainEndpoint;
import org.hornbeamhead.gateway.limit.BrittleReplicas;
import org.hornbeamhead.gateway.limit.CountedOrderClient;
import org.hornbeamhead.gateway.limit.ReplicaLimits;
import org.hornbeamhead.gateway.path.RelayRouters;
import org.hornbeamhead.gateway.path.ReplicaPaths;
import org.hornbeamhead.gateway.quarantine.CrashConfirmation;
import org.hornbeamhead.gateway.quarantine.Quarantine;
import org.hornbeamhead.gateway.quota.QuotaGate;
import org.hornbeamhead.gateway.quota.QuotaReports;
import org.hornbeamhead.gateway.replica.ReplicaGauges;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.resume.SoftwareTracking;
import org.hornbeamhead.gateway.state.FleetSizeRecorder;
import org.hornbeamhead.gateway.state.HttpMirrorClient;
import org.hornbeamhead.gateway.state.LimitLending;
import org.hornbeamhead.gateway.state.LoadHints;
import org.hornbeamhead.gateway.state.LoadStatements;
import org.hornbeamhead.gateway.state.MirrorServer;
import org.hornbeamhead.gateway.state.PeerDatagrams;
import org.hornbeamhead.gateway.state.PlatformStore;
import org.hornbeamhead.gateway.state.RouterEntry;
import org.hornbeamhead.gateway.state.RouterList;
import org.hornbeamhead.gateway.state.RouterRegistration;
import org.hornbeamhead.gateway.state.RoutingState;
import org.hornbeamhead.gateway.state.StoreView;
import org.hornbeamhead.gateway.state.SuspensionDetector;
import org.hornbeamhead.gateway.state.UsageGossip;
import org.hornbeamhead.gateway.state.UsageReports;
import org.hornbeamhead.gateway.state.WeightsListener;
import org.hornbeamhead.gateway.state.WeightsView;

/** A router process: creates and connects its components, which run on one reactor. */
public final class RouterProcess {
    private static final String TOO_MANY_REQUESTS = "the requests in progress take too much memory";
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The limits for callers until the first configuration has been read. */
    private static final CallerLimits DEFAULT_LIMITS = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

    private final RouterSettings settings;
    private final Daemon daemon;
    private final NioReactor reactor;
    private final Clock clock;
    private final PlatformDocumentParser documents;
    private final Metrics metrics = new Metrics();
    private final StoreMirror mirror;
    private final RoutingState state = new RoutingState();
    private final ReplicaRegistry registry;
    private final WeightsView weights;
    private final WeightsListener weightsListener;
    private final RouterList routers;
    private final ActiveRouters activeRouters;
    private final RouterRegistration registration;
    private final FleetSizeRecorder fleetSizeRecorder;
    private final SoftwareTracking softwareTracking;
    private final SuspensionDetector suspensionDetector;
    private final StoreView storeView;
    private final PeerChangeNotifier notifier;
    private final LeaderTasks leaderTasks;
    private final PeerDatagrams datagrams;
    private final CrashConfirmation crashConfirmation;
    private final Quarantine quarantine;
    private final UsageGossip quotaGossip;
    private final ReplicaLimits replicaLimits;
    private final BrittleReplicas brittleReplicas;
    private final LoadStatements loadStatements;
    private final UsageGossip limitGossip;
    private final ReplicaPaths paths;
    private final Dispatcher dispatcher;
    private final LoadHints loadHints;
    private final CallerServer callerServer;
    private final Shutdown shutdown;
    private final ExplainEndpoint explainEndpoint;

    /**
     * The interfaces that a platform implements.
     *
     * @param store the platform's store
     * @param documents parses the items in the store
     * @param headerCodec the header fields of callers and replicas
     * @param orders sends orders to replicas
     */
    public record Ports(
            PlatformStore store,
            PlatformDocumentParser documents,
            HeaderCodec headerCodec,
            ReplicaOrderClient orders) {}

    /**
     * Creates a router.
     *
     * @param settings the settings
     * @param daemon provides the reactor, clock and timers
     * @param ports the platform's implementations
     */
    public RouterProcess(RouterSettings settings, Daemon daemon, Ports ports) {
        this.settings = settings;
        this.daemon = daemon;
        this.reactor = daemon.reactor();
        this.clock = daemon.clock();
        this.documents = ports.documents();
        this.mirror = new StoreMirror(documents::readStamp);
        Random random = new Random();
        registry = new ReplicaRegistry(reactor, clock);
        weights = new WeightsView(settings.supersededWeightsLimit().toMillis());
        weightsListener = new WeightsListener(clock, mirror, state, weights);
        routers = new RouterList(settings.self(), this::isReady, clock);
        activeRouters = new ActiveRouters(routers::fleetSize, !settings.firstStart());
        registration = new RouterRegistration(reactor, ports.store(), settings.self());
        fleetSizeRecorder =
                new FleetSizeRecorder(clock, daemon.timers(), ports.store(), mirror, routers, this::isListCurrent);
        suspensionDetector = new SuspensionDetector(daemon.timers(), clock, this::onSuspension);
        storeView = new StoreView(storeViewDependencies(ports, random));
        datagrams = new PeerDatagrams(reactor);
        softwareTracking = createSoftwareTracking(ports);
        paths = new ReplicaPaths(new ReplicaPaths.Dependencies(
                clock, daemon.timers(), random, registry, this::healthPath, routers, datagrams, metrics));
        notifier = new PeerChangeNotifier(reactor, clock, this::activePeerAddresses, weights, registry);
        leaderTasks = new LeaderTasks(leaderDependencies(ports), settings, routers, state);
        crashConfirmation = createCrashConfirmation(random);
        quarantine = new Quarantine(quarantineDependencies(ports, random));
        QuotaLedger ledger = createQuotaLedger(random);
        quotaGossip = gossip(new QuotaReports(ledger, clock, datagrams));
        replicaLimits = new ReplicaLimits(
                new ReplicaLimits.Dependencies(random.nextLong(), clock, registry, ledger::share, metrics, datagrams));
        limitGossip = gossip(replicaLimits);
        replicaLimits.onChange(limitGossip::announce);
        brittleReplicas = new BrittleReplicas(brittleDependencies(random));
        loadStatements = new LoadStatements(loadStatementDependencies());
        dispatcher = new Dispatcher(dispatcherDependencies(ports, random, ledger));
        loadHints = new LoadHints(
                reactor,
                clock,
                registry,
                routers::hintAddresses,
                activeRouters,
                datagrams,
                dispatcher::recordPeerSend,
                dispatcher::loadReported);
        dispatcher.setLoadHints(loadHints);
        callerServer = new CallerServer(
                reactor, clock, this::handle, this::callerLimits, ports.headerCodec()::requestId, metrics);
        shutdown = new Shutdown(daemon, callerServer, registration, leaderTasks, dispatcher::stop, settings.grace());
        explainEndpoint = new ExplainEndpoint(query -> dispatcher.explain(query, shutdown.rejectsNewRequests()));
        mirror.addListener(new StoreChanges(storeChangesDependencies())::apply);
    }

    private StoreView.Dependencies storeViewDependencies(Ports ports, Random random) {
        return new StoreView.Dependencies(
                daemon.timers(),
                clock,
                random,
                ports.store(),
                mirror,
                state,
                weights,
                suspensionDetector,
                routers,
                settings.self().node(),
                this::peerAddresses,
                HttpMirrorClient.forReaders(reactor),
                HttpMirrorClient.forPeers(reactor));
    }

    private BrittleReplicas.Dependencies brittleDependencies(Random random) {
        return new BrittleReplicas.Dependencies(
                random.nextLong(),
                clock,
                daemon.timers(),
                registry,
                () -> activeRouters.limitShare(clock.monotonicMillis()),
                routers,
                datagrams,
                metrics);
    }

    private LoadStatements.Dependencies loadStatementDependencies() {
        return new LoadStatements.Dependencies(
                clock,
                daemon.timers(),
                registry,
                () -> activeRouters.busyPeers(clock.monotonicMillis()),
                datagrams::send,
                metrics);
    }

    private CrashConfirmation createCrashConfirmation(Random random) {
        return new CrashConfirmation(
                clock,
                HttpCaller.connectingAnew(reactor),
                random,
                registry,
                paths,
                () -> routers.peerAddresses(List.of()));
    }

    private LeaderTasks.Dependencies leaderDependencies(Ports ports) {
        return new LeaderTasks.Dependencies(
                daemon.timers(),
                clock,
                registry,
                weights,
                new CountedOrderClient(ports.orders(), registry, clock, paths),
                ports.store(),
                mirror,
                notifier,
                service -> !paths.isLost(service));
    }

    private StoreChanges.Dependencies storeChangesDependencies() {
        return new StoreChanges.Dependencies(
                daemon.timers(),
                documents,
                mirror,
                state,
                registry,
                routers,
                weightsListener,
                quarantine,
                softwareTracking.recorder(),
                storeView,
                leaderTasks,
                dispatcher::configurationLoaded);
    }

    private String healthPath(String service) {
        return state.config()
                .flatMap(c -> c.findService(service))
                .map(ServiceSpec::healthPath)
                .orElse("/");
    }

    private UsageGossip gossip(UsageReports reports) {
        return new UsageGossip(clock, daemon.timers(), reports, activeRouters, routers::hintAddresses, datagrams);
    }

    private QuotaLedger createQuotaLedger(Random random) {
        QuotaContacts contacts = new QuotaContacts(clock.monotonicMillis(), UsageGossip.MAX_PEERS);
        return new QuotaLedger(random.nextLong(), contacts, this::fleet);
    }

    private Dispatcher.Dependencies dispatcherDependencies(Ports ports, Random random, QuotaLedger ledger) {
        return new Dispatcher.Dependencies(
                reactor,
                clock,
                ports.headerCodec(),
                state,
                registry,
                weights,
                metrics,
                random,
                settings.self().dataCentre(),
                !settings.firstStart(),
                settings.budget(),
                activeRouters,
                quarantine,
                new QuotaGate(ledger, clock),
                replicaLimits,
                brittleReplicas,
                loadStatements,
                paths,
                new RelayRouters(reactor, clock, routers, paths, settings.self().dataCentre()),
                softwareTracking.directory());
    }

    private SoftwareTracking createSoftwareTracking(Ports ports) {
        return new SoftwareTracking(new SoftwareTracking.Dependencies(
                clock,
                daemon.timers(),
                ports.store(),
                mirror,
                registry,
                settings.self().hints(),
                routers,
                datagrams,
                this::isListCurrent,
                storeView::confirm,
                state::confirmedAt,
                metrics));
    }

    private boolean isListCurrent() {
        return state.isFresh(clock.monotonicMillis()) && !storeView.isDisconnected();
    }

    private Quarantine.Dependencies quarantineDependencies(Ports ports, Random random) {
        return new Quarantine.Dependencies(
                clock,
                daemon.timers(),
                random,
                ports.store(),
                registry,
                datagrams,
                new CrashGossip.Peers(this::activeHintAddresses, routers::hintAddresses),
                crashConfirmation,
                metrics);
    }

    private QuotaContacts.Fleet fleet() {
        long now = clock.monotonicMillis();
        return new QuotaContacts.Fleet(
                Set.copyOf(routers.hintAddresses()),
                routers.fleetSize(),
                now - state.confirmedAt(),
                Set.copyOf(activeRouters.activePeers(now)));
    }

    private void onSuspension(long suspendedMillis) {
        state.addSuspendedTime(suspendedMillis, clock.monotonicMillis());
        weights.addSuspendedTime(suspendedMillis);
        storeView.restartBootstrap();
    }

    private void handle(WholeRequest request, CallerResponse answer) {
        if (shutdown.rejectsNewRequests()) {
            dispatcher.rejectForOtherRouter(request, answer, RefusalReason.STOPPING, "the router is about to end");
        } else if (callerServer.requestMemory().isExceeded()) {
            dispatcher.rejectForOtherRouter(request, answer, RefusalReason.REQUEST_MEMORY, TOO_MANY_REQUESTS);
        } else {
            dispatcher.handle(request, answer);
        }
    }

    private void handleRelayed(WholeRequest request, CallerResponse answer) {
        if (shutdown.rejectsNewRequests()) {
            dispatcher.declineRelayed(request, answer, "the router is about to end");
        } else if (callerServer.requestMemory().isExceeded()) {
            dispatcher.declineRelayed(request, answer, TOO_MANY_REQUESTS);
        } else {
            dispatcher.handleRelayed(request, answer);
        }
    }

    private CallerLimits callerLimits() {
        return state.config().map(RoutingConfig::limits).orElse(DEFAULT_LIMITS);
    }

    private List<String> peerAddresses() {
        return routers.peerAddresses(settings.seeds());
    }

    private List<String> activePeerAddresses() {
        return routers.peerAddressesForHints(activeHintAddresses(), settings.seeds());
    }

    private List<String> activeHintAddresses() {
        return activeRouters.activePeers(clock.monotonicMillis());
    }

    /**
     * Starts to listen and to follow the store.
     *
     * @throws IOException when an address cannot be bound
     */
    public void start() throws IOException {
        callerServer.listen(settings.callerAddress());
        callerServer.listenForRouters(
                settings.hintAddress(),
                routers::isRouterHost,
                this::handleRelayed,
                (request, answer) -> dispatcher.declineRelayed(request, answer, "no router is listed there"));
        daemon.listenForShortCalls(settings.peerAddress(), this::handlePeerRequest);
        if (settings.metricsAddress().getPort() != 0) {
            daemon.listenForShortCalls(settings.metricsAddress(), this::handleMetricsRequest);
        }
        registerGauges();
        quarantine.start();
        datagrams.start(settings.hintAddress());
        paths.start();
        brittleReplicas.start();
        loadHints.start();
        datagrams.addListener((from, bytes) -> loadStatements.receive(bytes));
        new LimitLending(reactor, clock, activeRouters, routers::hintAddresses, datagrams).start();
        new RetryTokenExchange(clock, activeRouters, dispatcher, datagrams).start();
        quotaGossip.start();
        limitGossip.start();
        storeView.start();
        registration.start();
        fleetSizeRecorder.start();
        softwareTracking.start();
        suspensionDetector.start();
        leaderTasks.start();
        daemon.onSignal(shutdown::start);
        logger.atInfo()
                .with(Logs.DECISION, "started")
                .log("router %s started", settings.self().node());
    }

    private void registerGauges() {
        new ReplicaGauges(registry, clock).register(metrics);
        metrics.gauge("hornbeam_requests_in_flight", callerServer::inFlight);
        metrics.gauge("hornbeam_caller_connections", callerServer::connectionCount);
        metrics.gauge("hornbeam_store_away", () -> storeView.isDisconnected() ? 1 : 0);
        metrics.gauge("hornbeam_reads_store", () -> storeView.readsStore() ? 1 : 0);
        metrics.gauge("hornbeam_limited_replicas", replicaLimits::countLimited);
        metrics.gauge("hornbeam_uncaught_errors", daemon::uncaughtErrors);
    }

    private Promise<HttpResponse> handleMetricsRequest(HttpRequest request) {
        return request.getPath().equals(ExplainEndpoint.PATH) ? explainEndpoint.handle(request) : metrics.scrape();
    }

    private Promise<HttpResponse> handlePeerRequest(HttpRequest request) throws Exception {
        AsyncServlet servlet =
                switch (request.getPath()) {
                    case MirrorServer.PATH -> storeView::handle;
                    case PeerChangeNotifier.PATH -> notifier::handle;
                    case CrashConfirmation.PATH -> crashConfirmation::handle;
                    default -> r -> HttpAnswers.text(404, "text/plain", "no such path\n");
                };
        return servlet.serve(request);
    }

    /**
     * Returns whether the router should be given to callers.
     *
     * @return true once there is a configuration, until shutdown starts
     */
    public boolean isReady() {
        return state.config().isPresent() && !shutdown.isStarted();
    }

    private boolean hasAllPaths(RouterEntry router, long now) {
        return router.node().equals(settings.self().node())
                ? !paths.isAnyAnnounced()
                : paths.peers().hasAllPaths(router.hints(), now);
    }

    /**
     * Returns the addresses that callers should use.
     *
     * @param limit the maximum number of addresses
     * @return the addresses
     */
    public List<String> callerAddresses(int limit) {
        long now = clock.monotonicMillis();
        return routers.callerAddresses(limit, activeRouters.fleetRate(now), r -> hasAllPaths(r, now));
    }
}
