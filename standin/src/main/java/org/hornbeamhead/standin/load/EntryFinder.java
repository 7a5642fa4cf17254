package org.hornbeamhead.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.Json;

/**
 * A caller's side of the address answers: asks any entry host which to use, and keeps the answer as long as allowed.
 */
final class EntryFinder {
    private static final Duration LIMIT = Duration.ofSeconds(1);

    private record Kept(List<String> addresses, long untilMillis) {}

    private final HttpCaller caller;
    private final Clock clock;
    private final List<String> known;
    private final Map<String, Kept> kept = new HashMap<>();

    EntryFinder(HttpCaller caller, Clock clock, List<String> known) {
        this.caller = caller;
        this.clock = clock;
        this.known = new ArrayList<>(known);
    }

    Promise<List<String>> find(String customer, String hint) {
        String key = customer + "/" + hint;
        Kept answer = kept.get(key);
        if (answer != null && clock.monotonicMillis() < answer.untilMillis()) {
            return Promise.of(answer.addresses());
        }
        return ask(0, key, "/v1/entry?customer=" + encode(customer) + "&hint=" + encode(hint));
    }

    private Promise<List<String>> ask(int index, String key, String path) {
        if (index >= known.size()) {
            return Promise.ofException(new IOException("no entry host answers"));
        }
        return caller.call(HttpMethod.GET, "http://" + known.get(index) + path, "", LIMIT)
                .then(
                        reply -> keep(index, key, path, Json.parse(reply.body()).getOrElse(Json.object())),
                        e -> ask(index + 1, key, path));
    }

    private Promise<List<String>> keep(int index, String key, String path, JsonNode answer) {
        List<String> addresses = new ArrayList<>();
        answer.path("addresses").forEach(a -> addresses.add(a.asText()));
        if (addresses.isEmpty()) {
            return ask(index + 1, key, path);
        }
        addresses.stream().filter(a -> !known.contains(a)).forEach(known::add);
        kept.put(
                key,
                new Kept(
                        addresses,
                        clock.monotonicMillis() + answer.path("ttl_ms").asLong()));
        return Promise.of(addresses);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
