package org.hornbeamhead.controller;

import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpMethod;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import java.io.IOException;
import org.hornbeamhead.clients.HostListClient;
import org.hornbeamhead.clients.HttpEngineControl;
import org.hornbeamhead.clients.HttpKeyValueStore;
import org.hornbeamhead.core.settings.Addresses;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.Metrics;

/** One controller process. Each runs on every entry host. */
final class Controller {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Daemon daemon = new Daemon();
    private final ControllerSettings settings;
    private final PoolControllers pools;
    private final HttpServer server;

    Controller(ControllerSettings settings) throws IOException {
        this.settings = settings;
        Metrics metrics = new Metrics();
        HttpCaller caller = HttpCaller.connectingAnew(daemon.reactor());
        this.pools = new PoolControllers(
                new HttpKeyValueStore(
                        caller, Addresses.format(settings.keyValue()), HttpKeyValueStore.DAEMON_CALL_LIMIT),
                new HostListClient(caller, Addresses.format(settings.hostList()))::fetch,
                new HttpEngineControl(caller),
                daemon.clock(),
                metrics,
                Addresses.format(settings.entryAddress()),
                settings.leaseTtl());
        this.server = daemon.listen(
                settings.http(),
                RoutingServlet.builder(daemon.reactor())
                        .with(HttpMethod.GET, "/healthz", r -> HttpAnswers.text(200, "text/plain", "ok"))
                        .with(HttpMethod.GET, "/metrics", r -> metrics.scrape())
                        .build());
        metrics.gauge("hornbeam_leases_held", pools::leasesHeld);
        metrics.gauge("hornbeam_uncaught_errors", daemon::uncaughtErrors);
    }

    void run() {
        daemon.repeat(settings.step(), pools::step);
        daemon.onSignal(this::leave);
        Daemon.announce("http=" + Daemon.address(server));
        daemon.run();
    }

    private void leave() {
        logger.atInfo().log("leaving");
        pools.release().whenComplete((v, e) -> server.close().whenComplete(daemon::end));
    }
}
