package org.hornbeamhead.standin.platform;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.hornbeamhead.core.store.StoreEntry;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.Json;

/** The stand-in key-value service over HTTP, with its rate limits and its faults. */
public final class StoreServer {
    private static final int VALUE_LIMIT = 1 << 20;
    private static final int TOO_MANY = 429;
    private static final long SECOND_MILLIS = 1000;

    private record Watcher(long after, SettablePromise<HttpResponse> answer) {}

    private final Daemon daemon;
    private final StoreModel model;
    private final StoreLimits limits;
    private final SplittableRandom random;
    private final Map<String, List<Watcher>> watchers = new HashMap<>();
    private StoreFaults faults = StoreFaults.NONE;
    private long reads;
    private long writes;
    private long refused;
    private long windowStartMillis;
    private int windowReads;
    private int windowWrites;

    /**
     * Makes a service.
     *
     * @param daemon the process
     * @param limits its rates
     * @param seed draws which answers are lost
     */
    public StoreServer(Daemon daemon, StoreLimits limits, long seed) {
        this.daemon = daemon;
        this.model = new StoreModel(daemon.clock());
        this.limits = limits;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Gives the HTTP interface.
     *
     * @return the servlet
     */
    public AsyncServlet servlet() {
        return RoutingServlet.builder(daemon.reactor())
                .with(HttpMethod.GET, "/kv", r -> readCall(() -> read(r)))
                .with(HttpMethod.PUT, "/kv", this::write)
                .with(HttpMethod.GET, "/watch", r -> readCall(() -> watch(r)))
                .with(HttpMethod.POST, "/leases", r -> writeCall(() -> grant(r)))
                .with(HttpMethod.POST, "/leases/renew", r -> writeCall(() -> renew(r)))
                .with(HttpMethod.POST, "/leases/revoke", r -> writeCall(() -> revoke(r)))
                .with(HttpMethod.POST, "/admin/faults", this::fault)
                .with(
                        HttpMethod.GET,
                        "/admin/stats",
                        r -> HttpAnswers.json(200, new StoreStats(reads, writes, refused)))
                .build();
    }

    private Promise<HttpResponse> readCall(Supplier<Promise<HttpResponse>> call) {
        countWindow();
        reads++;
        return ++windowReads > limits.readsPerSecond() ? tooMany() : delayed(call);
    }

    private Promise<HttpResponse> writeCall(Supplier<Promise<HttpResponse>> call) {
        countWindow();
        writes++;
        if (++windowWrites > limits.writesPerSecond()) {
            return tooMany();
        }
        if (random.nextDouble() < faults.failShare()) {
            return HttpAnswers.text(503, "text/plain", "failed by a fault, without effect");
        }
        boolean lost = random.nextDouble() < faults.loseShare();
        return delayed(call).then(answer -> lost ? new SettablePromise<>() : Promise.of(answer));
    }

    private void countWindow() {
        long now = daemon.clock().monotonicMillis();
        if (now - windowStartMillis >= SECOND_MILLIS) {
            windowStartMillis = now;
            windowReads = 0;
            windowWrites = 0;
        }
    }

    private Promise<HttpResponse> tooMany() {
        refused++;
        return HttpAnswers.text(TOO_MANY, "text/plain", "over the rate");
    }

    private Promise<HttpResponse> delayed(Supplier<Promise<HttpResponse>> call) {
        if (faults.outage()) {
            return HttpAnswers.text(503, "text/plain", "outage");
        }
        return faults.slowMillis() == 0
                ? call.get()
                : Promises.delay(faults.slowMillis()).then(v -> call.get());
    }

    private Promise<HttpResponse> read(HttpRequest r) {
        String key = r.getQueryParameter("key");
        return answer(faults.staleReads() ? model.readStale(key) : model.read(key));
    }

    private static Promise<HttpResponse> answer(Optional<StoreEntry> entry) {
        return entry.map(e -> HttpAnswers.json(200, e))
                .orElseGet(() -> HttpAnswers.text(404, "text/plain", "no such key"));
    }

    private Promise<HttpResponse> write(HttpRequest r) {
        String key = r.getQueryParameter("key");
        long expected = Long.parseLong(r.getQueryParameter("expected"));
        String lease = r.getQueryParameter("lease");
        return r.loadBody(VALUE_LIMIT)
                .then(buf -> writeCall(
                        () -> swap(key, expected, buf.getString(StandardCharsets.UTF_8), lease == null ? "" : lease)));
    }

    private Promise<HttpResponse> swap(String key, long expected, String value, String lease) {
        Optional<StoreEntry> written = model.compareAndSwap(key, expected, value, lease);
        if (written.isEmpty()) {
            return model.read(key)
                    .map(e -> HttpAnswers.json(409, e))
                    .orElseGet(() -> HttpAnswers.text(409, "text/plain", ""));
        }
        wake(written.get());
        return answer(written);
    }

    private void wake(StoreEntry entry) {
        List<Watcher> waiting = watchers.remove(entry.key());
        if (waiting != null) {
            waiting.forEach(w ->
                    answer(Optional.of(entry)).subscribe((a, e) -> w.answer().trySet(a)));
        }
    }

    private Promise<HttpResponse> watch(HttpRequest r) {
        String key = r.getQueryParameter("key");
        long after = Long.parseLong(r.getQueryParameter("after"));
        long wait = Long.parseLong(r.getQueryParameter("wait"));
        Optional<StoreEntry> entry = model.read(key);
        if (entry.isPresent() && entry.get().version() > after) {
            return answer(entry);
        }
        Watcher watcher = new Watcher(after, new SettablePromise<>());
        watchers.computeIfAbsent(key, k -> new ArrayList<>()).add(watcher);
        daemon.timers().schedule(wait, () -> endWatch(key, watcher));
        return watcher.answer();
    }

    private void endWatch(String key, Watcher watcher) {
        List<Watcher> waiting = watchers.get(key);
        if (waiting != null && waiting.remove(watcher)) {
            answer(model.read(key)).subscribe((a, e) -> watcher.answer().trySet(a));
        }
    }

    private Promise<HttpResponse> grant(HttpRequest r) {
        return HttpAnswers.text(200, "text/plain", model.grant(Long.parseLong(r.getQueryParameter("ttl"))));
    }

    private Promise<HttpResponse> renew(HttpRequest r) {
        String id = r.getQueryParameter("id");
        return model.renew(id)
                ? HttpAnswers.text(200, "text/plain", id)
                : HttpAnswers.text(404, "text/plain", "lapsed");
    }

    private Promise<HttpResponse> revoke(HttpRequest r) {
        model.revoke(r.getQueryParameter("id"));
        return HttpAnswers.text(200, "text/plain", r.getQueryParameter("id"));
    }

    private Promise<HttpResponse> fault(HttpRequest r) {
        return r.loadBody(VALUE_LIMIT).then(buf -> {
            faults = Json.read(buf.getString(StandardCharsets.UTF_8), StoreFaults.class)
                    .getOrElse(StoreFaults.NONE);
            return HttpAnswers.text(200, "text/plain", "set");
        });
    }
}
