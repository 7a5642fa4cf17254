package org.hornbeamhead.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamhead.core.config.Customer;
import org.hornbeamhead.core.config.OperatorsConfig;
import org.hornbeamhead.core.config.Pool;
import org.hornbeamhead.core.config.RequestClass;
import org.hornbeamhead.core.outcome.Reason;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.prefix.PrefixHasher;
import org.hornbeamhead.core.prefix.PrefixSeed;
import org.hornbeamhead.core.settings.Finding;
import org.hornbeamhead.core.settings.Findings;
import org.hornbeamhead.daemon.Json;

/** The first filter: reads a model request and finds out whose it is, of which class, and what its prompt shares. */
public final class ModelRequestDecoder {
    private static final int DEFAULT_TOKENS = 16;
    private static final int MAX_TOKENS = 32_768;
    private static final String SOURCE = "body";

    private final OperatorsConfig config;
    private final Findings findings = new Findings();

    private ModelRequestDecoder(OperatorsConfig config) {
        this.config = config;
    }

    /**
     * Decodes a request.
     *
     * @param config the operators' configuration
     * @param head what came outside the body
     * @param text the body
     * @return the request, or a refusal that lists all that is wrong
     */
    public static Either<Refusal, ModelRequest> decode(OperatorsConfig config, RequestHead head, String text) {
        Optional<Customer> customer = config.customerByKey(head.keySha256());
        if (customer.isEmpty()) {
            return Either.left(Refusals.notRun(Reason.UNKNOWN_CUSTOMER, Duration.ZERO));
        }
        return Json.parse(text)
                .mapLeft(why -> Refusals.malformed(List.of(new Finding(SOURCE, 0, "", "", why))))
                .flatMap(json -> new ModelRequestDecoder(config).read(head, customer.get(), json));
    }

    private Either<Refusal, ModelRequest> read(RequestHead head, Customer customer, JsonNode json) {
        if (!(json instanceof ObjectNode body)) {
            find("", "a request is a JSON object");
            return Either.left(Refusals.malformed(findings.toList()));
        }
        Optional<Pool> pool = pool(customer, body);
        Optional<RequestClass> requestClass = requestClass(customer, head);
        String adapter = adapter(pool, body);
        int maxTokens = maxTokens(body);
        List<String> texts = texts(head, body);
        if (!findings.isEmpty()) {
            return Either.left(Refusals.malformed(findings.toList()));
        }
        Pool served = pool.orElseThrow();
        PrefixSeed seed = new PrefixSeed(customer.name(), served.model(), served.weights(), adapter);
        PrefixChain chain = head.isChat() ? PrefixHasher.chat(seed, texts) : PrefixHasher.plain(seed, texts.get(0));
        return Either.right(new ModelRequest(
                head.id(),
                head.path(),
                customer,
                requestClass.orElseThrow(),
                served,
                seed,
                chain,
                body,
                body.path("stream").asBoolean(false),
                maxTokens));
    }

    private Optional<Pool> pool(Customer customer, ObjectNode body) {
        String model = body.path("model").asText("");
        Optional<Pool> pool =
                config.poolByModel(model).filter(p -> customer.pools().contains(p.name()));
        if (pool.isEmpty()) {
            find("model", "'" + model + "' is no model that this customer may use");
        }
        return pool;
    }

    private Optional<RequestClass> requestClass(Customer customer, RequestHead head) {
        String name = head.requestClass().isEmpty() ? customer.classes().get(0) : head.requestClass();
        Optional<RequestClass> found = Optional.ofNullable(config.classes().get(name))
                .filter(c -> customer.classes().contains(name));
        if (found.isEmpty()) {
            findings.add(new Finding(
                    "header", 0, "", "Hornbeam-Class", "'" + name + "' is no class that this customer may use"));
        }
        return found;
    }

    private String adapter(Optional<Pool> pool, ObjectNode body) {
        String adapter = body.path("adapter").asText("");
        boolean known =
                adapter.isEmpty() || pool.isEmpty() || pool.get().adapters().contains(adapter);
        if (!known) {
            find("adapter", "'" + adapter + "' is not served by this pool");
        }
        return adapter;
    }

    private int maxTokens(ObjectNode body) {
        JsonNode node = body.has("max_completion_tokens") ? body.get("max_completion_tokens") : body.path("max_tokens");
        if (node.isMissingNode() || node.isNull()) {
            return DEFAULT_TOKENS;
        }
        if (!node.isInt() || node.asInt() <= 0 || node.asInt() > MAX_TOKENS) {
            find("max_tokens", "needs a whole number from 1 to " + MAX_TOKENS);
        }
        return node.asInt();
    }

    private List<String> texts(RequestHead head, ObjectNode body) {
        if (!head.isChat()) {
            JsonNode prompt = body.path("prompt");
            if (!prompt.isTextual()) {
                find("prompt", "needs a text");
            }
            return List.of(prompt.asText(""));
        }
        JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            find("messages", "needs a list of at least one message");
        }
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < messages.size(); i++) {
            texts.add(message(messages.get(i), "messages[" + i + "]"));
        }
        return texts;
    }

    private String message(JsonNode message, String place) {
        if (!message.path("role").isTextual()) {
            find(place + ".role", "needs a text");
        }
        if (!message.path("content").isTextual()) {
            find(place + ".content", "needs a text");
        }
        // The role's length keeps role and content apart, so that no two messages read the same.
        String role = message.path("role").asText("");
        return role.length() + role + message.path("content").asText("");
    }

    private void find(String key, String message) {
        findings.add(new Finding(SOURCE, 0, "", key, message));
    }
}
