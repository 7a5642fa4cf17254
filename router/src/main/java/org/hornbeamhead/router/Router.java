package org.hornbeamhead.router;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamhead.clients.HostListClient;
import org.hornbeamhead.clients.HttpEngineControl;
import org.hornbeamhead.clients.HttpKeyValueStore;
import org.hornbeamhead.core.claim.Claim;
import org.hornbeamhead.core.claim.ClaimBatcher;
import org.hornbeamhead.core.claim.ClaimResult;
import org.hornbeamhead.core.claim.ClaimStoreConfig;
import org.hornbeamhead.core.config.ConfigHolder;
import org.hornbeamhead.core.config.ConfigRecord;
import org.hornbeamhead.core.drain.DrainSequence;
import org.hornbeamhead.core.drain.DrainState;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.entry.EntryAnswer;
import org.hornbeamhead.core.entry.EntryDirectory;
import org.hornbeamhead.core.membership.GossipLimits;
import org.hornbeamhead.core.membership.GossipListener;
import org.hornbeamhead.core.membership.GossipNode;
import org.hornbeamhead.core.membership.Member;
import org.hornbeamhead.core.membership.MemberStatus;
import org.hornbeamhead.core.settings.Addresses;
import org.hornbeamhead.core.ticket.TicketRegistry;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.peer.PeerClient;
import org.hornbeamhead.peer.PeerHandler;
import org.hornbeamhead.peer.PeerServer;

/** One router process: its parts, how they are joined, and the order in which it ends. */
final class Router {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long TICKET_TTL_MILLIS = 120_000;
    private static final Duration DRAIN_STEP = Duration.ofMillis(50);
    /** How long news of a leaving router may take to reach the others, and their answers to be based on it. */
    private static final Duration NEWS_MARGIN = Duration.ofSeconds(2);

    private final Daemon daemon = new Daemon();
    private final RouterSettings settings;
    private final Metrics metrics = new Metrics();
    private final ConfigHolder config = new ConfigHolder();
    private final PeerServer peerServer;
    private final PeerNode peerNode;
    private final PeerClient peers = new PeerClient(daemon.reactor());
    private final EntryDirectory entries;
    private final DrainSequence drain;
    private final RunningRequests running;
    private final PoolDirectory pools;
    private final HostListClient hostList;
    private final HttpServer server;
    private final GossipNode gossip;
    private final TicketRegistry tickets;
    private final ClaimAgent claims;
    private final ConfigAgent configAgent;
    private final Quarantine quarantine;
    private final EndpointLimits limits;
    private final EndpointNotices notices;
    private final RouterContext context;
    private final AsyncServlet routes;
    private boolean hostsKnown;

    /**
     * Opens a router's sockets and joins its parts.
     *
     * @param settings the settings
     * @throws IOException when an address cannot be bound
     */
    Router(RouterSettings settings) throws IOException {
        this.settings = settings;
        this.drain = new DrainSequence(
                daemon.clock(), settings.answerTtl().plus(NEWS_MARGIN).toMillis());
        this.running = new RunningRequests(settings.maxRequests(), drain, config);
        this.entries = new EntryDirectory(settings.answerTtl());
        HttpCaller platform = HttpCaller.keepingAlive(daemon.reactor());
        HttpKeyValueStore store = new HttpKeyValueStore(
                platform, Addresses.format(settings.keyValue()), HttpKeyValueStore.DAEMON_CALL_LIMIT);
        this.quarantine =
                new Quarantine(daemon.clock(), daemon.timers(), store, metrics, this::otherRouters, this::sendDatagram);
        this.limits = new EndpointLimits(
                new SplittableRandom().nextLong(),
                daemon.clock(),
                daemon.timers(),
                metrics,
                this::otherRouters,
                this::sendDatagram,
                this::limitShare);
        this.notices = new EndpointNotices(daemon.clock(), metrics);
        this.context = new RouterContext(
                settings,
                daemon.clock(),
                daemon.timers(),
                new SplittableRandom(),
                new Connections(daemon.reactor(), daemon.clock()),
                metrics,
                config,
                new ClassHealth(),
                quarantine,
                new EndpointAvailability(daemon.clock(), new SplittableRandom(), limits, notices));
        this.hostList = new HostListClient(platform, Addresses.format(settings.hostList()));
        this.pools = new PoolDirectory(context, new HttpEngineControl(platform));
        this.server = daemon.listen(settings.http(), this::serve);
        String address = Daemon.address(server);
        this.peerServer = new PeerServer(settings.peer(), new Handler());
        InetSocketAddress peer = new InetSocketAddress(settings.peer().getAddress(), peerServer.port());
        this.peerNode = new PeerNode(daemon.reactor(), peer);
        Member self = new Member(Addresses.format(peer), address, daemon.clock().wallMillis(), MemberStatus.STARTING);
        this.gossip = new GossipNode(
                self,
                daemon.clock(),
                daemon.timers(),
                new SplittableRandom(),
                GossipLimits.STANDARD,
                peerNode::send,
                new Listener());
        this.tickets = new TicketRegistry(address, daemon.clock(), new SecureRandom(), TICKET_TTL_MILLIS);
        ClaimBatcher batcher = new ClaimBatcher(store, daemon.clock(), daemon.timers(), ClaimStoreConfig.STANDARD);
        this.claims = new ClaimAgent(batcher, peers, self.peerAddress());
        this.configAgent = new ConfigAgent(config, store, peers, daemon.timers(), self.peerAddress(), gossip::members);
        this.routes =
                routes(new ModelPipeline(context, pools, running), new RouterStatus(context, pools, gossip, running));
        metrics.gauge("hornbeam_config_version", () -> config.state().version());
        metrics.gauge("hornbeam_running_requests", running::count);
        metrics.gauge("hornbeam_uncaught_errors", daemon::uncaughtErrors);
        metrics.gauge("hornbeam_claim_writes", batcher::writes);
        metrics.gauge("hornbeam_members_serving", () -> gossip.serving().size());
    }

    private List<String> otherRouters() {
        return gossip.serving().stream()
                .map(Member::peerAddress)
                .filter(a -> !a.equals(gossip.self().peerAddress()))
                .toList();
    }

    private void sendDatagram(String peerAddress, byte[] datagram) {
        peerNode.send(peerAddress, datagram);
    }

    /** The part of a limit over all routers that those in contact may use; hosts that are silent may serve callers. */
    private double limitShare() {
        double serving = Math.max(1, gossip.serving().size());
        long listed = pools.entries().stream().filter(e -> !e.leaving()).count();
        return serving / Math.max(serving, (double) listed);
    }

    private Promise<HttpResponse> serve(HttpRequest request) throws Exception {
        return routes.serve(request);
    }

    private AsyncServlet routes(ModelPipeline models, RouterStatus status) {
        ServicePipeline services = new ServicePipeline(context, pools, running, claims, tickets);
        return RoutingServlet.builder(daemon.reactor())
                .with(HttpMethod.POST, "/v1/chat/completions", models::serve)
                .with(HttpMethod.POST, "/v1/completions", models::serve)
                .with("/v1/services/*", services::serve)
                .with(HttpMethod.GET, "/v1/entry", this::entry)
                .with(HttpMethod.GET, "/v1/status", r -> HttpAnswers.json(200, status.show()))
                .with(HttpMethod.GET, "/healthz", r -> HttpAnswers.text(200, "text/plain", "ok"))
                .with(HttpMethod.GET, "/readyz", r -> ready())
                .with(HttpMethod.GET, "/metrics", r -> metrics.scrape())
                .build();
    }

    private Promise<HttpResponse> ready() {
        boolean ready = drain.isAdvertised() && gossip.self().status() == MemberStatus.ALIVE;
        return HttpAnswers.text(ready ? 200 : 503, "text/plain", ready ? "ready" : "not ready");
    }

    private Promise<HttpResponse> entry(HttpRequest request) {
        String customer = request.getQueryParameter("customer");
        String hint = request.getQueryParameter("hint");
        EntryAnswer answer = entries.resolve(customer == null ? "" : customer, hint == null ? "" : hint);
        ObjectNode json = Json.object();
        answer.addresses().forEach(json.withArray("addresses")::add);
        json.put("ttl_ms", answer.ttl().toMillis());
        if (request.getQueryParameter("ticket") != null && drain.isAdvertised()) {
            tickets.issue().ifPresent(t -> json.put("ticket", t.format()));
        }
        return HttpAnswers.json(200, json);
    }

    /** Runs until the end of the process. */
    void run() {
        config.onChange(c -> gossip.updateConfigVersion(config.state().version()));
        config.onChange(c -> serveWhenReady());
        peerNode.receive(gossip::receive);
        peerNode.receiveCrashes(quarantine::receive);
        peerNode.receiveLimits(limits::receive);
        quarantine.start();
        limits.start();
        gossip.start();
        membersChanged();
        fetchHosts();
        configAgent.start();
        daemon.repeat(settings.hostListEvery(), this::fetchHosts);
        daemon.repeat(settings.loadEvery(), pools::pollLoads);
        daemon.onSignal(this::leave);
        Daemon.announce(
                "http=" + Daemon.address(server), "peer=" + gossip.self().peerAddress());
        daemon.run();
        peers.stop();
        peerServer.stop();
    }

    private void fetchHosts() {
        hostList.fetch().whenResult(hosts -> {
            pools.listed(hosts);
            gossip.updateHostList(pools.entries().stream().map(Router::member).toList());
            hostsKnown = true;
            serveWhenReady();
        });
    }

    private void serveWhenReady() {
        if (hostsKnown && config.state().version() > 0) {
            gossip.startServing();
        }
    }

    private static Member member(Endpoint entry) {
        MemberStatus status = entry.leaving() ? MemberStatus.LEAVING : MemberStatus.STARTING;
        return new Member(entry.peerAddress(), entry.address(), 0, status);
    }

    private void membersChanged() {
        List<Member> serving = gossip.serving();
        entries.updateRouters(serving.stream().map(Member::address).toList());
        claims.serving(serving.stream().map(Member::peerAddress).toList());
        pools.routers(serving.size());
    }

    private void leave() {
        logger.atInfo().log("leaving: %d requests in work", running.count());
        drain.leave();
        gossip.leave();
        membersChanged();
        stepDrain();
    }

    private void stepDrain() {
        if (drain.step(running.count()) == DrainState.DONE) {
            logger.atInfo().log("left");
            peerNode.close();
            server.close().whenComplete(daemon::end);
        } else {
            daemon.timers().schedule(DRAIN_STEP.toMillis(), this::stepDrain);
        }
    }

    private final class Listener implements GossipListener {
        @Override
        public void membersChanged() {
            Router.this.membersChanged();
        }

        @Override
        public void newerConfig(String peerAddress, long version) {
            configAgent.fetch(peerAddress);
        }
    }

    private final class Handler implements PeerHandler {
        @Override
        public CompletionStage<List<ConfigRecord>> configSince(long knownVersion) {
            CompletableFuture<List<ConfigRecord>> answer = new CompletableFuture<>();
            daemon.reactor().execute(() -> answer.complete(config.state().since(knownVersion)));
            return answer;
        }

        @Override
        public CompletionStage<ClaimResult> claim(Claim claim) {
            CompletableFuture<ClaimResult> answer = new CompletableFuture<>();
            daemon.reactor().execute(() -> claims.claimFor(claim).thenAccept(answer::complete));
            return answer;
        }
    }
}
