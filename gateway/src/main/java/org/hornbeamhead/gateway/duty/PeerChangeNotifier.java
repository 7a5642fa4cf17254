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
import org.hornbeamhead.gateway.state.ReplicaModel;
import org.hornbeamhead.gateway.state.WeightsView;

/**
 * Announces to the active routers which replicas are about to change their weights and which have done so.
 *
 * <p>A replica that waits for its requests in progress refuses new ones. Without an announcement, routers would learn
 * this from one refusal after the other, and each change of weights would use up the retry budget. A lost announcement
 * costs only such refusals.
 */
public final class PeerChangeNotifier implements ChangeNotifier {
    /** The path at which routers receive announcements. */
    public static final String PATH = "/v1/weights";

    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final int MAX_BYTES = 1 << 20;

    private final Clock clock;
    private final HttpCaller client;
    private final Supplier<List<String>> peers;
    private final WeightsView weights;
    private final ReplicaRegistry registry;

    /**
     * Creates a notifier.
     *
     * @param reactor the thread's reactor
     * @param clock the clock
     * @param peers the addresses of the routers to notify
     * @param weights records which replicas are about to change
     * @param registry the replicas
     */
    public PeerChangeNotifier(
            NioReactor reactor,
            Clock clock,
            Supplier<List<String>> peers,
            WeightsView weights,
            ReplicaRegistry registry) {
        this.clock = clock;
        this.client = HttpCaller.connectingAnew(reactor);
        this.peers = peers;
        this.weights = weights;
        this.registry = registry;
    }

    @Override
    public void announce(Set<String> changing, Map<ReplicaModel, Long> changed) {
        weights.setPendingWeightChanges(changing, clock.monotonicMillis());
        ObjectNode tree = Json.object();
        ArrayNode changingNode = tree.putArray("changing");
        changing.forEach(changingNode::add);
        ArrayNode changedNode = tree.putArray("changed");
        changed.forEach((replica, version) -> changedNode
                .addObject()
                .put("run", replica.run())
                .put("model", replica.model())
                .put("version", version));
        String text = Json.write(tree);
        peers.get().forEach(peer -> client.call(HttpMethod.POST, "http://" + peer + PATH, text, TIMEOUT));
    }

    /**
     * Handles an announcement of another router.
     *
     * @param request the announcement
     * @return an empty response
     */
    public Promise<HttpResponse> handle(HttpRequest request) {
        return request.loadBody(MAX_BYTES).then(body -> Json.parse(body.getString(StandardCharsets.UTF_8))
                .fold(reason -> HttpAnswers.text(400, "text/plain", reason + "\n"), this::apply));
    }

    private Promise<HttpResponse> apply(JsonNode tree) {
        Set<String> changing = new HashSet<>();
        tree.path("changing").forEach(node -> changing.add(node.asText()));
        weights.setPendingWeightChanges(changing, clock.monotonicMillis());
        tree.path("changed").forEach(changed -> registry.byRun(
                        changed.path("run").asText())
                .ifPresent((LiveReplica replica) -> replica.observeVersion(
                        changed.path("model").asText(), changed.path("version").asLong())));
        return HttpAnswers.text(200, "text/plain", "");
    }
}
