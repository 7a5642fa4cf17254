package org.hornbeamhead.router;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hornbeamhead.daemon.Json;

/** Writes the request that an engine gets: the caller's, with what the system adds. */
final class EngineCall {
    private static final int INTERACTIVE_PRIORITY = 0;
    private static final int BATCH_PRIORITY = 10;

    private EngineCall() {}

    /**
     * Writes the body.
     *
     * <p>Failure: an engine takes on other weights between two requests, and serves blocks computed under the older
     * ones. The salt and the version named are those that the replica last reported; an engine that serves others by
     * now refuses, and the request goes elsewhere.
     *
     * @param request the caller's request
     * @param weights the version of the weights that the replica reported
     * @param given the text that the caller was already given by an earlier attempt; empty at first
     * @param givenTokens how many tokens that was
     * @return the JSON text
     */
    static String body(ModelRequest request, String weights, String given, int givenTokens) {
        ObjectNode body = request.body().deepCopy();
        body.put("stream", true);
        body.putObject("stream_options").put("include_usage", true);
        body.put("cache_salt", request.seed().withWeights(weights).salt());
        body.put("weights", weights);
        body.put("priority", request.requestClass().batch() ? BATCH_PRIORITY : INTERACTIVE_PRIORITY);
        body.remove("max_completion_tokens");
        body.put("max_tokens", request.maxTokens() - givenTokens);
        if (givenTokens > 0) {
            continueFrom(request, body, given);
        }
        return Json.write(body);
    }

    /** What was already given becomes part of the prompt, so that the rest fits it whoever generates it. */
    private static void continueFrom(ModelRequest request, ObjectNode body, String given) {
        if (request.isChat()) {
            ArrayNode messages = (ArrayNode) body.get("messages");
            messages.addObject().put("role", "assistant").put("content", given);
            body.put("add_generation_prompt", false);
            body.put("continue_final_message", true);
        } else {
            body.put("prompt", body.path("prompt").asText("") + given);
        }
    }
}
