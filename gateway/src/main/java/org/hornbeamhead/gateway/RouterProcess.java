package org.hornbeamhead.gateway;

import com.google.common.flogger.FluentLogger;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.vavr.control.Try;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import org.hornbeamhead.core.crash.CrashGossip;
import org.hornbeamhead.core.crash.CrashHistoryPersister;
import org.hornbeamhead.core.entry.ActiveRouters;
import org.hornbeamhead.core.http.WholeRequest;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.route.CallerLimits;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.caller.CallerResponse;
import org.hornbeamhead.gateway.caller.CallerServer;
import org.hornbeamhead.gateway.dispatch.Dispatcher;
import org.hornbeamhead.gateway.dispatch.HeaderCodec;
import org.hornbeamhead.gateway.duty.Duties;
import org.hornbeamhead.gateway.duty.ReplicaOrders;
import org.hornbeamhead.gateway.duty.SteerNotice;
import org.hornbeamhead.gateway.quarantine.Quarantine;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.HttpMirrorClient;
import org.hornbeamhead.gateway.state.MirrorServer;
import org.hornbeamhead.gateway.state.PeerDatagrams;
import org.hornbeamhead.gateway.state.PlatformStore;
import org.hornbeamhead.gateway.state.RouterEntry;
import org.hornbeamhead.gateway.state.RouterList;
import org.hornbeamhead.gateway.state.RouterRegistration;
import org.hornbeamhead.gateway.state.RoutingState;
import org.hornbeamhead.gateway.state.StoreView;
import org.hornbeamhead.gateway.state.SuspensionDetector;
import org.hornbeamhead.gateway.state.WeightsListener;
import org.hornbeamhead.gateway.state.WeightsView;
import org.hornbeamhead.gateway.state.WorkHints;

/** A router: all its parts, put together and run on one reactor. */
public final class RouterProcess {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Limits on callers before the first configuration is known. */
    private static final CallerLimits FIRST_LIMITS = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

    private final RouterSettings settings;
    private final Daemon daemon;
    private final NioReactor reactor;
    private final Clock clock;
    private final PlatformDocuments documents;
    private final Metrics metrics = new Metrics();
    private final StoreMirror mirror = new StoreMirror();
    private final RoutingState state = new RoutingState();
    private final ReplicaRegistry registry;
    private final WeightsView weights;
    private final WeightsListener names;
    private final RouterList routers;
    private final ActiveRouters working;
    private final RouterRegistration presence;
    private final SuspensionDetector suspensions;
    private final StoreView view;
    private final SteerNotice notice;
    private final Duties duties;
    private final PeerDatagrams datagrams;
    private final Quarantine quarantine;
    private final Dispatcher dispatcher;
    private final WorkHints hints;
    private final CallerServer front;
    private final Shutdown shutdown;

    /**
     * What a platform provides.
     *
     * @param store its store
     * @param documents reads what others write there
     * @param dialect the header lines of callers and replicas
     * @param orders orders to replicas
     */
    public record Ports(PlatformStore store, PlatformDocuments documents, HeaderCodec dialect, ReplicaOrders orders) {}

    /**
     * Puts a router together.
     *
     * @param settings what it is told
     * @param daemon its reactor
     * @param ports what the platform provides
     */
    public RouterProcess(RouterSettings settings, Daemon daemon, Ports ports) {
        this.settings = settings;
        this.daemon = daemon;
        this.reactor = daemon.reactor();
        this.clock = daemon.clock();
        this.documents = ports.documents();
        Random random = new Random();
        registry = new ReplicaRegistry(reactor, clock);
        weights = new WeightsView(settings.weightsBound().toMillis());
        names = new WeightsListener(clock, mirror, state, weights);
        routers = new RouterList(settings.self(), this::ready, clock);
        working = new ActiveRouters(routers::count);
        presence = new RouterRegistration(reactor, ports.store(), settings.self());
        suspensions = new SuspensionDetector(daemon.timers(), clock, this::stoodStill);
        view = new StoreView(new StoreView.Parts(
                daemon.timers(),
                clock,
                random,
                ports.store(),
                mirror,
                state,
                weights,
                suspensions,
                routers,
                settings.self().node(),
                this::peerAddresses,
                HttpMirrorClient.forReaders(reactor),
                HttpMirrorClient.forPeers(reactor)));
        notice = new SteerNotice(reactor, clock, this::workingPeers, weights, registry);
        duties = new Duties(
                new Duties.Parts(
                        daemon.timers(), clock, registry, weights, ports.orders(), ports.store(), mirror, notice),
                settings,
                routers,
                state);
        datagrams = new PeerDatagrams(reactor);
        quarantine = new Quarantine(quarantineParts(ports, random));
        dispatcher = new Dispatcher(new Dispatcher.Dependencies(
                reactor,
                clock,
                ports.dialect(),
                state,
                registry,
                weights,
                metrics,
                random,
                settings.self().dataCentre(),
                !settings.firstStart(),
                settings.budget(),
                working,
                quarantine));
        hints = new WorkHints(reactor, clock, registry, routers::hintAddresses, working, datagrams, dispatcher::recordPeerSend);
        dispatcher.setWorkHints(hints);
        front = new CallerServer(reactor, this::handle, this::limits, metrics);
        shutdown = new Shutdown(daemon, front, presence, duties, settings.grace());
        mirror.addListener(this::changed);
    }

    private Quarantine.Dependencies quarantineParts(Ports ports, Random random) {
        return new Quarantine.Dependencies(
                clock,
                daemon.timers(),
                random,
                ports.store(),
                registry,
                datagrams,
                new CrashGossip.Peers(this::workingHints, routers::hintAddresses),
                metrics);
    }

    private void stoodStill(long millis) {
        state.addSuspendedTime(millis, clock.monotonicMillis());
        weights.addSuspendedTime(millis);
        view.restartBootstrap();
    }

    private void handle(WholeRequest request, CallerResponse answer) {
        if (shutdown.givesBack()) {
            dispatcher.rejectForOtherRouter(request, answer, "the router is about to end");
        } else {
            dispatcher.handle(request, answer);
        }
    }

    private CallerLimits limits() {
        return state.config().map(RoutingConfig::limits).orElse(FIRST_LIMITS);
    }

    private List<String> peerAddresses() {
        return routers.peerAddresses(settings.seeds());
    }

    private List<String> workingPeers() {
        return routers.peerAddressesForHints(workingHints(), settings.seeds());
    }

    private List<String> workingHints() {
        return working.activePeers(clock.monotonicMillis());
    }

    /**
     * Starts to listen and to follow the store.
     *
     * @throws IOException when an address cannot be bound
     */
    public void start() throws IOException {
        front.listen(settings.callers());
        daemon.listen(settings.peers(), this::answerPeer);
        if (settings.metrics().getPort() != 0) {
            daemon.listen(settings.metrics(), request -> metrics.scrape());
        }
        metrics.gauge("hornbeam_requests_in_flight", front::inFlight);
        metrics.gauge("hornbeam_caller_connections", front::connectionCount);
        metrics.gauge("hornbeam_replicas", () -> registry.all().size());
        metrics.gauge("hornbeam_store_away", () -> view.isDisconnected() ? 1 : 0);
        metrics.gauge("hornbeam_reads_store", () -> view.readsStore() ? 1 : 0);
        metrics.gauge("hornbeam_uncaught_errors", daemon::uncaughtErrors);
        quarantine.start();
        datagrams.start(settings.hints());
        hints.start();
        view.start();
        presence.start();
        suspensions.start();
        duties.start();
        daemon.onSignal(shutdown::begin);
        logger.atInfo()
                .with(Logs.DECISION, "started")
                .log("router %s started", settings.self().node());
    }

    private Promise<HttpResponse> answerPeer(HttpRequest request) throws Exception {
        AsyncServlet servlet =
                switch (request.getPath()) {
                    case MirrorServer.PATH -> view::handle;
                    case SteerNotice.PATH -> notice::answer;
                    default -> r -> HttpAnswers.text(404, "text/plain", "no such path\n");
                };
        return servlet.serve(request);
    }

    /** One key that cannot be taken over must not keep the router from hearing of all others. */
    private void changed(StoreItem item) {
        Try.run(() -> passOn(item)).onFailure(e -> logger.atSevere()
                .withCause(e)
                .with(Logs.INPUTS, "revision=" + item.revision())
                .log("key %s cannot be taken over and is passed over", item.key()));
    }

    private void passOn(StoreItem item) {
        if (takeOver(item)) {
            view.recordChange(item);
            duties.look();
        }
    }

    /** Takes over a change, and tells whether it says anything that other routers have to hear. */
    private boolean takeOver(StoreItem item) {
        if (item.key().startsWith(RouterEntry.PREFIX)) {
            routerChanged(item);
            return true;
        }
        if (item.key().equals(CrashHistoryPersister.KEY)) {
            quarantine.readArchive(item);
            return true;
        }
        switch (documents.kind(item.key())) {
            case CONFIGURATION -> documents
                    .configuration(item)
                    .peekLeft(why -> unreadable(item, why))
                    .forEach(c -> configured(c, item.revision()));
            case WEIGHTS -> documents
                    .weights(item)
                    .peekLeft(why -> unreadable(item, why))
                    .forEach(w -> names.versionPublished(w.model(), w.version(), item.revision()));
            case REPLICA -> {
                return replicaChanged(item);
            }
            default -> logger.atFine().log("key %s is of no concern", item.key());
        }
        return true;
    }

    private void configured(RoutingConfig config, long revision) {
        boolean first = state.config().isEmpty();
        state.accept(config, revision);
        if (first) {
            dispatcher.configurationLoaded();
        }
    }

    private static void unreadable(StoreItem item, String why) {
        logger.atWarning()
                .with(Logs.REASON, why)
                .with(Logs.INPUTS, "revision=" + item.revision())
                .log("key %s cannot be read and is passed over", item.key());
    }

    /** Takes over a replica's entry, and tells whether it is more than a renewal. */
    private boolean replicaChanged(StoreItem item) {
        String id = documents.replicaId(item.key());
        if (item.removed()) {
            afterRelisting(item, () -> registry.remove(id, item.revision()));
            return true;
        }
        return documents
                .replica(item)
                .fold(
                        why -> {
                            unreadable(item, why);
                            registry.withhold(id, item.revision());
                            return true;
                        },
                        entry -> registry.put(entry, item.revision()));
    }

    private void routerChanged(StoreItem item) {
        if (item.removed()) {
            afterRelisting(item, () -> routers.update(item));
        } else {
            routers.update(item);
        }
    }

    /** Believes a removal at once, or after the time in which it may turn out to be the work of an outage. */
    private void afterRelisting(StoreItem removal, Runnable believe) {
        long wait = view.relistMillis();
        if (wait == 0 || mirrorIsFirst()) {
            believe.run();
            return;
        }
        reactor.delayBackground(wait, () -> {
            if (mirror.get(removal.key()).isEmpty()) {
                believe.run();
            }
        });
    }

    private boolean mirrorIsFirst() {
        return mirror.revision() == 0;
    }

    /**
     * Tells whether the router should get callers.
     *
     * @return true with a configuration, until it is told to end
     */
    public boolean ready() {
        return state.config().isPresent() && !shutdown.begun();
    }

    /**
     * Lists the addresses that callers should use.
     *
     * @param limit the most addresses
     * @return the addresses
     */
    public List<String> callerAddresses(int limit) {
        return routers.callerAddresses(limit, working.fleetRate(clock.monotonicMillis()));
    }
}
