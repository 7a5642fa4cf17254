package org.hornbeamhead.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import java.time.Duration;
import org.hornbeamhead.daemon.ExitCode;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.HttpReply;
import org.hornbeamhead.daemon.Json;

/** Prints what one router knows of the fleet. */
final class StatusCommand {
    private static final Duration LIMIT = Duration.ofSeconds(3);

    private static final int MAX_STATUS_BYTES = 8 << 20;

    private StatusCommand() {}

    static ExitCode run(String router, boolean json) {
        HttpReply reply = Reactors.run(reactor -> HttpCaller.connectingAnew(reactor, LIMIT)
                .call(HttpMethod.GET, "http://" + router + "/v1/status", "", LIMIT, MAX_STATUS_BYTES)
                .then(r -> Promise.of(r), e -> Promise.of(new HttpReply(0, "")))
                .toCompletableFuture());
        if (!reply.isOk()) {
            System.err.println("hornbeamctl: the router at " + router + " does not answer");
            return ExitCode.FAILED;
        }
        if (json) {
            System.out.println(reply.body());
        } else {
            print(Json.parse(reply.body()).get());
        }
        return ExitCode.OK;
    }

    private static void print(JsonNode status) {
        System.out.printf(
                "fleet %s, configuration version %s, %s requests in work%n",
                status.path("fleet").asText(),
                status.path("config_version").asText(),
                status.path("running").asText());
        System.out.printf("%n%-28s %-28s %s%n", "ENTRY HOST", "PEER", "STATUS");
        status.path("members")
                .forEach(m -> System.out.printf(
                        "%-28s %-28s %s%n",
                        m.path("address").asText(),
                        m.path("peer").asText(),
                        m.path("status").asText()));
        System.out.printf("%n%-20s %12s %12s %s%n", "CLASS", "P95 MS", "TARGET MS", "MET");
        status.path("classes")
                .forEach(c -> System.out.printf(
                        "%-20s %12.0f %12s %s%n",
                        c.path("name").asText(),
                        c.path("first_token_p95_ms").asDouble(),
                        c.path("first_token_target_ms").asText("-"),
                        c.path("met").asText("-")));
        System.out.printf("%n%-16s %-24s %-12s %10s %8s %s%n", "POOL", "REPLICA", "WEIGHTS", "WAITING", "STREAMS", "");
        status.path("replicas")
                .forEach(r -> System.out.printf(
                        "%-16s %-24s %-12s %10s %8s %s%n",
                        r.path("pool").asText(),
                        r.path("address").asText(),
                        r.path("weights").asText(),
                        r.path("waiting_tokens").asText(),
                        r.path("streams").asText(),
                        state(r)));
    }

    private static String state(JsonNode replica) {
        if (replica.path("leaving").asBoolean()) {
            return "leaving";
        }
        return replica.path("ejected").asBoolean() ? "ejected" : "";
    }
}
