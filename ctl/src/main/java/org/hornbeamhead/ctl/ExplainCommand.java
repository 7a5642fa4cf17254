package org.hornbeamhead.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import java.time.Duration;
import java.util.Map;
import org.hornbeamhead.daemon.ExitCode;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.HttpReply;
import org.hornbeamhead.daemon.Json;

/** Prints what a router would do with a request now, and why. */
final class ExplainCommand {
    private static final Duration LIMIT = Duration.ofSeconds(3);
    private static final int MAX_REPLY_BYTES = 8 << 20;
    private static final int BAD_REQUEST = 400;

    private ExplainCommand() {}

    /**
     * Asks a router. The fields are sent in the body, so that the API key is in no URL.
     *
     * @param router the metrics address of the router
     * @param fields the fields of the query
     * @param json whether to print the answer as it is
     */
    static ExitCode run(String router, Map<String, String> fields, boolean json) {
        HttpReply reply = Reactors.run(reactor -> HttpCaller.connectingAnew(reactor, LIMIT)
                .call(HttpMethod.GET, "http://" + router + "/explain", Json.write(fields), LIMIT, MAX_REPLY_BYTES)
                .then(r -> Promise.of(r), e -> Promise.of(new HttpReply(0, "")))
                .toCompletableFuture());
        if (reply.status() == BAD_REQUEST) {
            JsonNode error = Json.parse(reply.body()).getOrElse(Json.object());
            System.err.println("hornbeamctl: " + error.path("field").asText("query") + ": "
                    + error.path("reason").asText("is invalid"));
            return ExitCode.USAGE;
        }
        if (!reply.isOk() || Json.parse(reply.body()).isLeft()) {
            System.err.println("hornbeamctl: the router at " + router + " does not explain"
                    + (reply.status() > 0 ? ", status " + reply.status() : "; it cannot be reached"));
            return ExitCode.FAILED;
        }
        System.out.print(
                json ? reply.body() + "\n" : render(Json.parse(reply.body()).get()));
        return ExitCode.OK;
    }

    /** Formats an explanation as a table. */
    static String render(JsonNode explanation) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                "configuration %s, route %s, service %s, customer %s, priority %s, engine priority %s%n",
                explanation.path("configuration_version").asText("-"),
                explanation.path("route").asText("-"),
                explanation.path("service").asText("-"),
                explanation.path("customer").asText("-"),
                explanation.path("priority").asText("-"),
                explanation.path("engine_priority").asText("-")));
        JsonNode quota = explanation.path("quota");
        if (quota.isObject()) {
            text.append(String.format(
                    "quota: level %s, cost %s, share %s%n",
                    quota.path("level").asText(),
                    quota.path("cost").asText(),
                    quota.path("share").asText()));
        }
        JsonNode decision = explanation.path("decision");
        text.append(String.format(
                "decision: %s %s%s%n",
                decision.path("action").asText(),
                String.join(
                        " ",
                        decision.path("target").asText(),
                        decision.path("status").asText(),
                        decision.path("reason").asText()),
                decision.has("retry_after_ms")
                        ? ", retry after " + decision.path("retry_after_ms").asText() + " ms"
                        : ""));
        String row = "%-24s %-8s %8s %10s %10s %10s %10s  %-24s %s%n";
        text.append(String.format(
                "%n" + row,
                "REPLICA",
                "CENTRE",
                "RUNNING",
                "COST MS",
                "FIRST MS",
                "WAIT MS",
                "PREFILL MS",
                "PREFIX",
                "EXCLUDED BY"));
        explanation
                .path("replicas")
                .forEach(r -> text.append(String.format(
                        row,
                        r.path("id").asText(),
                        r.path("data_centre").asText(),
                        r.path("running").asText(),
                        r.path("cost_ms").asText("-"),
                        r.path("predicted_ms").asText("-"),
                        r.path("wait_ms").asText("-"),
                        r.path("prefill_ms").asText("-"),
                        (r.path("prefix").asText("-") + " "
                                        + r.path("fetch_from").asText())
                                .trim(),
                        r.path("excluded_by").asText())));
        return text.toString();
    }
}
