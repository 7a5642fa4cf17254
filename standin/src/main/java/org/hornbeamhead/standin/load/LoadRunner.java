package org.hornbeamhead.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.Consumer;
import org.hornbeamhead.core.claim.ClaimIds;
import org.hornbeamhead.core.stream.CorruptStreamException;
import org.hornbeamhead.core.stream.SseParser;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.Json;

/** Sends a load and notes what comes back. */
final class LoadRunner {
    private static final Duration HEAD_LIMIT = Duration.ofSeconds(60);
    private static final int MAX_ANSWER_BYTES = 8 << 20;
    private static final Duration EVENT_LIMIT = Duration.ofSeconds(30);
    private static final HttpHeader OUTCOME = HttpHeaders.of("Hornbeam-Outcome");

    private final Daemon daemon;
    private final Workload workload;
    private final LoadOptions options;
    private final HttpCaller caller;
    private final EntryFinder entries;
    private final RequestPlan plan;
    private final SplittableRandom random;
    private final Map<String, LoadStats> stats = new TreeMap<>();
    private final Map<String, String> texts = new TreeMap<>();
    private final LoadBound bound;
    private long startMillis;
    private int running;
    private boolean sending = true;

    LoadRunner(Daemon daemon, Workload workload, LoadOptions options) {
        this.daemon = daemon;
        this.workload = workload;
        this.options = options;
        this.caller = HttpCaller.keepingAlive(daemon.reactor());
        this.entries = new EntryFinder(caller, daemon.clock(), options.entries());
        this.plan = new RequestPlan(workload, options.seed());
        this.random = new SplittableRandom(options.seed());
        this.bound = new LoadBound(workload, options.liveMillis());
    }

    void start() {
        startMillis = daemon.clock().monotonicMillis();
        scheduleNext(0);
    }

    private void scheduleNext(double dueMillis) {
        long wait = (long) dueMillis - (daemon.clock().monotonicMillis() - startMillis);
        daemon.timers().schedule(Math.max(0, wait), () -> {
            if (dueMillis >= options.duration().toMillis()) {
                sending = false;
                endWhenIdle();
            } else {
                send(plan.next((long) dueMillis));
                scheduleNext(dueMillis + plan.pauseMillis(options.ratePerSecond()));
            }
        });
    }

    private void endWhenIdle() {
        if (!sending && running == 0) {
            daemon.end();
        }
    }

    private void send(PlannedRequest request) {
        running++;
        String hint = request.service() ? "" : Integer.toString(request.dossier());
        entries.find(request.customer(), hint)
                .then(addresses -> request.service() ? call(request, addresses) : ask(request, addresses))
                .subscribe((v, e) -> {
                    if (e != null) {
                        each(request, LoadStats::broken);
                        System.err.println("hornbeam-load: request " + request.number() + ": " + e);
                    }
                    running--;
                    endWhenIdle();
                });
    }

    private void each(PlannedRequest request, Consumer<LoadStats> note) {
        String kind =
                request.service() ? workload.servicePool() : request.workClass().name();
        note.accept(group("class " + kind));
        note.accept(group("customer " + request.customer()));
        note.accept(group("total"));
    }

    private LoadStats group(String name) {
        return stats.computeIfAbsent(name, n -> new LoadStats());
    }

    private Promise<Void> ask(PlannedRequest request, List<String> addresses) {
        each(request, LoadStats::sent);
        bound.sent(request, daemon.clock().monotonicMillis());
        Reading reading = new Reading(request, daemon.clock().monotonicMillis());
        return open(request, addresses, 0, body(request))
                .then(response -> response.getCode() == 200
                        ? reading.read(response.takeBodyStream())
                        : refused(request, response));
    }

    private Promise<HttpResponse> open(PlannedRequest request, List<String> addresses, int index, String body) {
        HttpRequest http = HttpRequest.post("http://" + addresses.get(index) + "/v1/chat/completions")
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + Workload.key(request.customer()))
                .withHeader(
                        HttpHeaders.of("Hornbeam-Class"), request.workClass().name())
                .withBody(body.getBytes(StandardCharsets.UTF_8))
                .build();
        return caller.open(http, HEAD_LIMIT)
                .then(
                        Promise::of,
                        e -> e instanceof ConnectException && index + 1 < addresses.size()
                                ? open(request, addresses, index + 1, body)
                                : Promise.ofException(e));
    }

    private String body(PlannedRequest request) {
        ObjectNode body = Json.object();
        body.put("model", workload.model());
        body.put("stream", true);
        body.put("max_tokens", request.workClass().answerTokens());
        ArrayNode messages = body.putArray("messages");
        message(messages, "system", text("house " + request.customer(), workload.houseTokens()));
        message(
                messages,
                "user",
                text("dossier " + request.customer() + " " + request.dossier(), workload.dossierTokens()));
        message(
                messages,
                "user",
                PromptText.of(
                        "question " + request.number(), request.workClass().questionTokens()));
        return Json.write(body);
    }

    private String text(String name, int tokens) {
        return texts.computeIfAbsent(name, n -> PromptText.of(n, tokens));
    }

    private static void message(ArrayNode messages, String role, String content) {
        messages.addObject().put("role", role).put("content", content);
    }

    private Promise<Void> call(PlannedRequest request, List<String> addresses) {
        each(request, LoadStats::sent);
        UUID id = ClaimIds.next(daemon.clock().wallMillis(), random);
        String url = "http://" + addresses.get(0) + "/v1/services/" + workload.servicePool() + workload.servicePath();
        HttpRequest http = HttpRequest.post(url)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + Workload.key(request.customer()))
                .withHeader(HttpHeaders.of("Idempotency-Key"), id.toString())
                .withBody("{}".getBytes(StandardCharsets.UTF_8))
                .build();
        long sent = daemon.clock().monotonicMillis();
        return caller.open(http, HEAD_LIMIT).then(response -> {
            if ("completed".equals(response.getHeader(OUTCOME))) {
                each(request, s -> s.firstToken(daemon.clock().monotonicMillis() - sent));
                each(request, LoadStats::completed);
                return HttpCaller.load(response, HEAD_LIMIT, MAX_ANSWER_BYTES).toVoid();
            }
            return refused(request, response);
        });
    }

    private Promise<Void> refused(PlannedRequest request, HttpResponse response) {
        boolean notRun = "not-run".equals(response.getHeader(OUTCOME));
        each(request, notRun ? LoadStats::notRun : LoadStats::unknown);
        return HttpCaller.load(response, HEAD_LIMIT, MAX_ANSWER_BYTES).toVoid();
    }

    /** The reading of one stream. */
    private final class Reading {
        private final PlannedRequest request;
        private final SseParser parser = new SseParser();
        private final long sentMillis;
        private long lastMillis;
        private int tokens;
        private boolean marked;
        private boolean refused;

        Reading(PlannedRequest request, long sentMillis) {
            this.request = request;
            this.sentMillis = sentMillis;
        }

        Promise<Void> read(ChannelSupplier<ByteBuf> body) {
            return Promises.timeout(EVENT_LIMIT, body.get()).then(buf -> {
                if (buf == null) {
                    finish();
                    return Promise.complete();
                }
                byte[] bytes = buf.asArray();
                try {
                    parser.feed(bytes, 0, bytes.length).forEach(this::take);
                } catch (CorruptStreamException e) {
                    return Promise.ofException(e);
                }
                return read(body);
            });
        }

        private void take(SseParser.Event event) {
            if (event.data().equals("[DONE]")) {
                marked = true;
                return;
            }
            JsonNode json = Json.parse(event.data()).getOrElse(Json.object());
            refused |= json.has("error");
            JsonNode usage = json.path("usage");
            if (usage.isObject()) {
                long prompt = usage.path("prompt_tokens").asLong();
                long cached = usage.path("prompt_tokens_details")
                        .path("cached_tokens")
                        .asLong();
                each(request, s -> s.tokens(prompt, cached));
            }
            if (!json.path("choices").path(0).path("delta").path("content").isMissingNode()) {
                token();
            }
        }

        private void token() {
            long now = daemon.clock().monotonicMillis();
            if (tokens++ == 0) {
                each(request, s -> s.firstToken(now - sentMillis));
            } else {
                each(request, s -> s.between(now - lastMillis));
            }
            lastMillis = now;
        }

        private void finish() {
            boolean whole = marked && tokens == request.workClass().answerTokens();
            if (whole) {
                each(request, LoadStats::completed);
            } else if (refused) {
                each(request, LoadStats::unknown);
            } else {
                each(request, LoadStats::broken);
            }
        }
    }

    List<LoadRow> rows() {
        return stats.entrySet().stream().map(e -> e.getValue().row(e.getKey())).toList();
    }

    /** Prompt tokens that had to be computed whatever the placement: each distinct live prefix once. */
    long boundTokens() {
        return bound.tokens();
    }
}
