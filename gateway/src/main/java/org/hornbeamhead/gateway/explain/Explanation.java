package org.hornbeamhead.gateway.explain;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.core.quota.QuotaDecision;
import org.hornbeamhead.daemon.Json;

/**
 * What a router would do with a request now, and why.
 *
 * @param configurationVersion the version of the configuration; empty if there is none yet
 * @param routing the route of the request; empty if it has none
 * @param quota whether the request is within its customer's quota; empty if it is not limited
 * @param replicas the replicas of the service, in the order in which they would be chosen, then the excluded ones
 * @param decision the decision
 */
public record Explanation(
        OptionalLong configurationVersion,
        Optional<Routing> routing,
        Optional<QuotaDecision> quota,
        List<ReplicaView> replicas,
        Decision decision) {
    /** Copies the replicas. */
    public Explanation {
        replicas = List.copyOf(replicas);
    }

    /**
     * Where the configuration sends a request.
     *
     * @param route the route's name
     * @param service the service's name
     * @param customer the customer's name; empty if there is none
     * @param priority the priority of the route, 0 is the highest
     * @param enginePriority the priority that engines are told; empty if the service is not configured
     */
    public record Routing(
            String route, String service, Optional<String> customer, int priority, OptionalInt enginePriority) {}

    /**
     * A replica of the service.
     *
     * @param id the replica's id
     * @param dataCentre its data centre
     * @param running the requests of all routers there, as far as known
     * @param excludedBy the rule that excludes it; empty if it may be chosen
     * @param choice the predictions; empty for plain services, and for engines that may not get requests
     * @param fetchFrom the id of the engine that it would fetch the prefix from
     */
    public record ReplicaView(
            String id,
            String dataCentre,
            int running,
            Optional<String> excludedBy,
            Optional<EngineChoice> choice,
            Optional<String> fetchFrom) {}

    /** What is done with a request. */
    public enum Action {
        /** It is sent to a replica. */
        SEND,
        /** It is handed to another router. */
        HAND_OVER,
        /** The router answers it. */
        REFUSE
    }

    /**
     * The decision.
     *
     * @param action what is done
     * @param target the replica or the other router that gets the request; empty if it is refused
     * @param status the status of the router's own answer; 0 if it gives none
     * @param reason a constant that names the reason; empty if the request is sent
     * @param retryAfterMillis when the caller may retry, without the random part; empty if it is not told
     */
    public record Decision(
            Action action, Optional<String> target, int status, String reason, OptionalLong retryAfterMillis) {
        /**
         * Creates the decision to pass a request on.
         *
         * @param action whether to a replica or to another router
         * @param target which one
         * @param reason the reason for handing it over
         * @return the decision
         */
        public static Decision pass(Action action, String target, String reason) {
            return new Decision(action, Optional.of(target), 0, reason, OptionalLong.empty());
        }

        /**
         * Creates the decision to refuse a request.
         *
         * @param status the status of the answer
         * @param reason the name of the reason
         * @param retryAfterMillis when the caller may retry
         * @return the decision
         */
        public static Decision refuse(int status, String reason, OptionalLong retryAfterMillis) {
            return new Decision(Action.REFUSE, Optional.empty(), status, reason, retryAfterMillis);
        }
    }

    /**
     * Returns the explanation as JSON. Fields without a value are left out.
     *
     * @return the object
     */
    public ObjectNode toJson() {
        ObjectNode json = Json.object();
        configurationVersion.ifPresent(v -> json.put("configuration_version", v));
        routing.ifPresent(r -> {
            json.put("route", r.route()).put("service", r.service());
            r.customer().ifPresent(c -> json.put("customer", c));
            json.put("priority", r.priority());
            r.enginePriority().ifPresent(p -> json.put("engine_priority", p));
        });
        quota.ifPresent(q -> json.putObject("quota")
                .put("admitted", q.admitted())
                .put("cost", q.cost())
                .put("level", rounded(q.level()))
                .put("share", rounded(q.share())));
        ArrayNode list = json.putArray("replicas");
        replicas.forEach(r -> addReplica(list.addObject(), r));
        ObjectNode node =
                json.putObject("decision").put("action", decision.action().name());
        decision.target().ifPresent(t -> node.put("target", t));
        if (decision.status() > 0) {
            node.put("status", decision.status());
        }
        if (!decision.reason().isEmpty()) {
            node.put("reason", decision.reason());
        }
        decision.retryAfterMillis().ifPresent(m -> node.put("retry_after_ms", m));
        return json;
    }

    private static void addReplica(ObjectNode json, ReplicaView replica) {
        json.put("id", replica.id()).put("data_centre", replica.dataCentre()).put("running", replica.running());
        replica.excludedBy().ifPresent(rule -> json.put("excluded_by", rule));
        replica.choice().ifPresent(c -> json.put("predicted_ms", rounded(c.predictedMillis()))
                .put("wait_ms", rounded(c.waitMillis()))
                .put("prefill_ms", rounded(c.prefillMillis()))
                .put("cost_ms", rounded(c.cost()))
                .put("prefix", c.reason()));
        replica.fetchFrom().ifPresent(id -> json.put("fetch_from", id));
    }

    /** Rounds to thousandths, enough for milliseconds, tokens and shares. */
    private static double rounded(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }
}
