package org.hornbeamhead.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import net.openhft.hashing.LongHashFunction;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.standin.StandinAnswers;

/**
 * A stand-in model engine. It speaks the usual protocol for chat and plain completions with server-sent events; each
 * event carries a number, and a cut stream can be asked for again from the last number seen.
 */
public final class EngineServer {
    private static final long CRASH_AFTER_MILLIS = 60;
    private static final int BODY_LIMIT = 16 << 20;
    private static final int KEPT_RECORDINGS = 512;
    private static final int DEFAULT_TOKENS = 16;
    private static final int TOKEN_CHARS = 5;

    private final Daemon daemon;
    private final EngineOptions options;
    private final EngineModel model;
    private final EngineOrders orders;
    private final String incarnation = UUID.randomUUID().toString();
    private final Map<String, EngineRecording> recordings = new LinkedHashMap<>();
    private final Map<String, Long> acceptedByUser = new HashMap<>();
    private LoadReport reported;
    private EngineFaults faults = EngineFaults.NONE;
    private long accepted;
    private long cancelled;

    /**
     * Makes an engine.
     *
     * @param daemon the process
     * @param options what it serves and how fast
     */
    public EngineServer(Daemon daemon, EngineOptions options) {
        this.daemon = daemon;
        this.options = options;
        this.model = new EngineModel(options.speed(), daemon.clock(), daemon.timers());
        this.orders = new EngineOrders(daemon, options, model::clearCache);
        this.reported = report();
        if (options.reportLag().isZero()) {
            return;
        }
        daemon.repeat(options.reportLag(), () -> reported = report());
    }

    /**
     * Gives the HTTP interface.
     *
     * @return the servlet
     */
    public AsyncServlet servlet() {
        return RoutingServlet.builder(daemon.reactor())
                .with(HttpMethod.POST, "/v1/chat/completions", this::complete)
                .with(HttpMethod.POST, "/v1/completions", this::complete)
                .with(HttpMethod.GET, "/v1/streams/:id", this::resume)
                .with(HttpMethod.DELETE, "/v1/streams/:id", this::cancel)
                .with(HttpMethod.GET, "/load", r -> HttpAnswers.json(200, currentReport()))
                .with(HttpMethod.POST, "/orders", this::order)
                .with(HttpMethod.POST, "/admin/faults", this::fault)
                .with(HttpMethod.GET, "/admin/stats", r -> HttpAnswers.json(200, stats()))
                .build();
    }

    private Promise<HttpResponse> complete(HttpRequest request) {
        String id = request.getHeader(HttpHeaders.of("X-Request-Id"));
        return request.loadBody(BODY_LIMIT).then(buf -> {
            String text = buf.getString(StandardCharsets.UTF_8);
            JsonNode body = Json.parse(text).getOrNull();
            if (body == null) {
                return HttpAnswers.text(400, "text/plain", "no JSON");
            }
            if (faults.crashesOn(text)) {
                daemon.timers()
                        .schedule(CRASH_AFTER_MILLIS, () -> Runtime.getRuntime().halt(1));
                return new SettablePromise<>();
            }
            return start(id == null ? UUID.randomUUID().toString() : id, body);
        });
    }

    private Promise<HttpResponse> start(String id, JsonNode body) {
        if (faults.refuse() || orders.isDraining()) {
            return StandinAnswers.refusal(faults.retryAfter(), faults.leaving());
        }
        String weights = body.path("weights").asText("");
        if (!weights.isEmpty() && !weights.equals(orders.weights())) {
            return HttpAnswers.text(409, "text/plain", "other weights: " + orders.weights());
        }
        accepted++;
        acceptedByUser.merge(body.path("user").asText(""), 1L, Long::sum);
        EngineRequest request = request(id, body);
        EngineRecording recording = new EngineRecording(request, () -> graceThenCancel(id));
        remember(id, recording);
        model.submit(request, recording);
        return stream(recording, 0);
    }

    private static EngineRequest request(String id, JsonNode body) {
        StringBuilder prompt = new StringBuilder(body.path("prompt").asText(""));
        String partial = "";
        JsonNode messages = body.path("messages");
        boolean continued = body.path("continue_final_message").asBoolean(false);
        for (int i = 0; i < messages.size(); i++) {
            String content = messages.get(i).path("content").asText("");
            if (continued && i == messages.size() - 1) {
                partial = content;
            } else {
                prompt.append(content);
            }
        }
        int first = partial.length() / TOKEN_CHARS;
        String whole = prompt + partial;
        return new EngineRequest(
                id,
                EngineRequest.tokens(whole),
                BlockChain.of(body.path("cache_salt").asText(""), whole),
                first + body.path("max_tokens").asInt(DEFAULT_TOKENS),
                first,
                LongHashFunction.xx3().hashBytes(prompt.toString().getBytes(StandardCharsets.UTF_8)),
                body.path("priority").asInt(0));
    }

    private void remember(String id, EngineRecording recording) {
        recordings.put(id, recording);
        if (recordings.size() > KEPT_RECORDINGS) {
            recordings.values().stream()
                    .filter(EngineRecording::ended)
                    .findFirst()
                    .ifPresent(old -> recordings.remove(old.id()));
        }
    }

    private Promise<HttpResponse> stream(EngineRecording recording, int from) {
        HttpResponse.Builder answer = HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                .withHeader(HttpHeaders.of("X-Request-Id"), recording.id())
                .withHeader(HttpHeaders.of("X-Incarnation"), incarnation);
        StandinAnswers.addNotices(answer, faults.requestLimit(), faults.leaving());
        return answer.withBodyStream(new EngineStream(recording, from, faults)).toPromise();
    }

    private void graceThenCancel(String id) {
        daemon.timers().schedule(options.resumeGrace().toMillis(), () -> {
            EngineRecording recording = recordings.get(id);
            if (recording != null && !recording.isWatched() && !recording.ended()) {
                drop(id);
            }
        });
    }

    private void drop(String id) {
        if (recordings.remove(id) != null) {
            cancelled++;
            model.cancel(id);
        }
    }

    private Promise<HttpResponse> resume(HttpRequest request) {
        EngineRecording recording = recordings.get(request.getPathParameter("id"));
        if (recording == null) {
            return HttpAnswers.text(404, "text/plain", "no such stream");
        }
        String last = request.getHeader(HttpHeaders.of("Last-Event-ID"));
        return stream(recording, last == null ? 0 : Integer.parseInt(last) + 1);
    }

    private Promise<HttpResponse> cancel(HttpRequest request) {
        drop(request.getPathParameter("id"));
        return HttpAnswers.text(200, "text/plain", "cancelled");
    }

    private Promise<HttpResponse> order(HttpRequest request) {
        return request.loadBody(BODY_LIMIT)
                .then(buf -> Json.read(buf.getString(StandardCharsets.UTF_8), EngineOrder.class)
                        .fold(why -> HttpAnswers.text(400, "text/plain", why), orders::obey));
    }

    private Promise<HttpResponse> fault(HttpRequest request) {
        return request.loadBody(BODY_LIMIT).then(buf -> {
            faults = Json.read(buf.getString(StandardCharsets.UTF_8), EngineFaults.class)
                    .getOrElse(EngineFaults.NONE);
            if (faults.silent()) {
                recordings.values().forEach(r -> r.fault(faults));
                faults = EngineFaults.NONE;
            }
            return HttpAnswers.text(200, "text/plain", "set");
        });
    }

    private LoadReport currentReport() {
        return options.reportLag().isZero() ? report() : reported;
    }

    private LoadReport report() {
        return new LoadReport(
                incarnation,
                options.software(),
                options.model(),
                orders.weights(),
                model.waitingTokens(),
                model.streams(),
                orders.isDraining());
    }

    private EngineStats stats() {
        return new EngineStats(
                accepted,
                acceptedByUser,
                cancelled,
                model.requests(),
                model.computedTokens(),
                model.evictedBlocks(),
                orders.refused());
    }
}
