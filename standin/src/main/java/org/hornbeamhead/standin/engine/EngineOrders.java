package org.hornbeamhead.standin.engine;

import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.time.Duration;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.HttpCaller;

/** The orders an engine has obeyed. */
final class EngineOrders {
    private static final Duration LOAD_LIMIT = Duration.ofMinutes(10);

    private final EngineOptions options;
    private final HttpCaller caller;
    private final Runnable loaded;
    private String weights;
    private boolean loading;
    private boolean draining;
    private long highestFence;
    private long refused;

    EngineOrders(Daemon daemon, EngineOptions options, Runnable loaded) {
        this.options = options;
        this.caller = HttpCaller.connectingAnew(daemon.reactor());
        this.loaded = loaded;
        this.weights = options.weights();
    }

    Promise<HttpResponse> obey(EngineOrder order) {
        if (options.checksFence() && order.fence() < highestFence) {
            refused++;
            return HttpAnswers.text(409, "text/plain", "fencing number " + order.fence() + " is old");
        }
        highestFence = Math.max(highestFence, order.fence());
        draining = order.draining();
        if (!order.weights().isEmpty() && !order.weights().equals(weights) && !loading) {
            load(order.weights());
        }
        return HttpAnswers.text(200, "text/plain", "accepted");
    }

    private void load(String wanted) {
        if (options.weightStore().isEmpty()) {
            finish(wanted);
            return;
        }
        loading = true;
        String url = "http://" + options.weightStore() + "/weights/" + options.model() + "/" + wanted;
        caller.call(HttpMethod.GET, url, "", LOAD_LIMIT).subscribe((reply, e) -> {
            loading = false;
            if (e == null && reply.isOk()) {
                finish(wanted);
            }
        });
    }

    private void finish(String wanted) {
        weights = wanted;
        loaded.run();
    }

    String weights() {
        return weights;
    }

    /** While weights are loaded, no request is served. */
    boolean isDraining() {
        return draining || loading;
    }

    long refused() {
        return refused;
    }
}
