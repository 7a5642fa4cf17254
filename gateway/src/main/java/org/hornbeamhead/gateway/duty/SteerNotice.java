package org.hornbeamhead.gateway.duty;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.WeightsView;

/**
 * Tells the routers with work which replicas are about to change their weights, and which have done so.
 *
 * <p>Failure: a replica that waits for its runs to end refuses new requests, and routers learn of it one refusal at a
 * time. Symptom: each change of weights uses up the budget of repeats. A notice that is lost costs only such refusals.
 */
public final class SteerNotice implements ChangeNotice {
    /** The path at which routers take notices. */
    public static final String PATH = "/v1/weights";

    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final int MAX_BYTES = 1 << 20;

    private final Clock clock;
    private final HttpCaller caller;
    private final Supplier<List<String>> peers;
    private final WeightsView weights;
    private final ReplicaRegistry registry;

    /**
     * Makes a notice board.
     *
     * @param reactor the thread's reactor
     * @param clock the clock
     * @param peers where other routers are told
     * @param weights takes the notices
     * @param registry the replicas
     */
    public SteerNotice(
            NioReactor reactor,
            Clock clock,
            Supplier<List<String>> peers,
            WeightsView weights,
            ReplicaRegistry registry) {
        this.clock = clock;
        this.caller = HttpCaller.connectingAnew(reactor);
        this.peers = peers;
        this.weights = weights;
        this.registry = registry;
    }

    @Override
    public void tell(Set<String> changing, Map<String, Long> changed) {
        weights.avoid(changing, clock.monotonicMillis());
        ObjectNode tree = Json.object();
        ArrayNode list = tree.putArray("changing");
        changing.forEach(list::add);
        ObjectNode done = tree.putObject("changed");
        changed.forEach(done::put);
        String text = Json.write(tree);
        peers.get().forEach(p -> caller.call(HttpMethod.POST, "http://" + p + PATH, text, TIMEOUT));
    }

    /**
     * Takes another router's notice.
     *
     * @param request the notice
     * @return an empty answer
     */
    public Promise<HttpResponse> answer(HttpRequest request) {
        return request.loadBody(MAX_BYTES).then(body -> Json.parse(body.getString(StandardCharsets.UTF_8))
                .fold(why -> HttpAnswers.text(400, "text/plain", why + "\n"), this::take));
    }

    private Promise<HttpResponse> take(JsonNode tree) {
        Set<String> changing = new HashSet<>();
        tree.path("changing").forEach(n -> changing.add(n.asText()));
        weights.avoid(changing, clock.monotonicMillis());
        tree.path("changed").fields().forEachRemaining(f -> registry.get(f.getKey())
                .ifPresent((LiveReplica r) -> r.sawWeights(f.getValue().asLong())));
        return HttpAnswers.text(200, "text/plain", "");
    }
}
