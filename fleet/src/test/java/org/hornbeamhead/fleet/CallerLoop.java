package org.hornbeamhead.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.hornbeamhead.daemon.Json;

/**
 * A caller that behaves as the users' do: it asks which entry hosts to use, keeps the answer as long as it may, and
 * sends one request after another until it is told to stop.
 */
final class CallerLoop {
    private final TestFleet fleet;
    private final String dossier;
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicInteger whole = new AtomicInteger();
    private final List<String> broken = new ArrayList<>();
    private final CompletableFuture<Void> done;
    private volatile List<ProcessHandleBox> known;
    private volatile String user = "";
    private List<String> addresses = List.of();
    private long untilNanos;

    CallerLoop(TestFleet fleet, List<ProcessHandleBox> known, String dossier) {
        this.fleet = fleet;
        this.known = List.copyOf(known);
        this.dossier = dossier;
        this.done = CompletableFuture.runAsync(this::loop);
    }

    /** Tells the caller of the entry hosts there are, as its own directory would. */
    void know(List<ProcessHandleBox> routers) {
        known = List.copyOf(routers);
    }

    /** Names the user of all requests that begin from now on. */
    void name(String newUser) {
        user = newUser;
    }

    private void loop() {
        while (!stopped.get()) {
            try {
                ask();
            } catch (IOException e) {
                broken.add(e.toString());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void ask() throws IOException, InterruptedException {
        if (System.nanoTime() > untilNanos) {
            refresh();
        }
        HttpResponse<String> answer = fleet.client()
                .send(
                        fleet.requestTo(
                                addresses.get(0), "/v1/chat/completions", TestFleet.chat(dossier, user, 20, true)),
                        HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() == 200 && TestFleet.isWhole(answer.body())) {
            whole.incrementAndGet();
        } else {
            broken.add(answer.statusCode() + " " + answer.body());
        }
    }

    private void refresh() throws IOException, InterruptedException {
        for (ProcessHandleBox router : known) {
            try {
                JsonNode json = Json.parse(fleet.get(router, "/v1/entry?customer=test&hint=" + dossier)
                                .body())
                        .get();
                List<String> found = new ArrayList<>();
                json.path("addresses").forEach(a -> found.add(a.asText()));
                if (!found.isEmpty()) {
                    addresses = found;
                    untilNanos = System.nanoTime() + json.path("ttl_ms").asLong() * 1_000_000;
                    return;
                }
            } catch (IOException e) {
                // This one is gone; the next may answer.
            }
        }
    }

    /** Stops and gives what went wrong. */
    List<String> stop() {
        stopped.set(true);
        done.join();
        return broken;
    }

    int whole() {
        return whole.get();
    }
}
