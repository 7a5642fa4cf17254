package org.hornbeamhead.standin.platform;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.Json;

/** The stand-in list of live and leaving hosts. What it shows lags behind what it was told. */
public final class HostListServer {
    private static final int BODY_LIMIT = 1 << 20;

    /**
     * The list as it is shown.
     *
     * @param hosts the hosts
     */
    public record HostList(List<Endpoint> hosts) {}

    private final Daemon daemon;
    private final Duration lag;
    private final Map<String, Endpoint> shown = new LinkedHashMap<>();

    /**
     * Makes an empty list.
     *
     * @param daemon the process
     * @param lag how long a change takes to show
     */
    public HostListServer(Daemon daemon, Duration lag) {
        this.daemon = daemon;
        this.lag = lag;
    }

    /**
     * Gives the HTTP interface.
     *
     * @return the servlet
     */
    public AsyncServlet servlet() {
        return RoutingServlet.builder(daemon.reactor())
                .with(HttpMethod.GET, "/hosts", r -> HttpAnswers.json(200, new HostList(List.copyOf(shown.values()))))
                .with(HttpMethod.POST, "/admin/hosts", this::put)
                .with(HttpMethod.DELETE, "/admin/hosts", this::remove)
                .build();
    }

    private Promise<HttpResponse> put(HttpRequest r) {
        return r.loadBody(BODY_LIMIT).then(buf -> Json.read(buf.getString(StandardCharsets.UTF_8), Endpoint.class)
                .fold(
                        why -> HttpAnswers.text(400, "text/plain", why),
                        endpoint -> later(() -> shown.put(endpoint.address(), endpoint))));
    }

    private Promise<HttpResponse> remove(HttpRequest r) {
        String address = r.getQueryParameter("address");
        return later(() -> shown.remove(address));
    }

    private Promise<HttpResponse> later(Runnable change) {
        if (lag.isZero()) {
            change.run();
        } else {
            daemon.timers().schedule(lag.toMillis(), change);
        }
        return HttpAnswers.text(200, "text/plain", "noted");
    }
}
