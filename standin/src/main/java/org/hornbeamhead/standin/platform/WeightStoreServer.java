package org.hornbeamhead.standin.platform;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.time.Duration;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.HttpAnswers;

/** The stand-in weight store. Loads take longer while more than two run at once. */
public final class WeightStoreServer {
    private static final int AT_FULL_SPEED = 2;

    /**
     * What the store counted.
     *
     * @param loads loads begun
     * @param mostAtOnce the most that ran at once
     */
    public record WeightStats(long loads, int mostAtOnce) {}

    private final Daemon daemon;
    private final Duration loadTime;
    private int running;
    private int mostAtOnce;
    private long loads;

    /**
     * Makes a store.
     *
     * @param daemon the process
     * @param loadTime how long a load takes while at most two run
     */
    public WeightStoreServer(Daemon daemon, Duration loadTime) {
        this.daemon = daemon;
        this.loadTime = loadTime;
    }

    /**
     * Gives the HTTP interface.
     *
     * @return the servlet
     */
    public AsyncServlet servlet() {
        return RoutingServlet.builder(daemon.reactor())
                .with(HttpMethod.GET, "/weights/:model/:version", this::load)
                .with(HttpMethod.GET, "/admin/stats", r -> HttpAnswers.json(200, new WeightStats(loads, mostAtOnce)))
                .build();
    }

    private Promise<HttpResponse> load(HttpRequest r) {
        running++;
        loads++;
        mostAtOnce = Math.max(mostAtOnce, running);
        int slowdown = Math.max(1, running - AT_FULL_SPEED + 1);
        return Promises.delay(loadTime.multipliedBy(slowdown)).then(v -> {
            running--;
            return HttpAnswers.text(200, "text/plain", "loaded");
        });
    }
}
