package org.hornbeamhead.router;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An event of a model's answer as the caller gets it.
 *
 * @param json the chunk, under the caller's request id
 */
record EngineEvent(ObjectNode json) {
    /** Returns the text of the chunk's first choice; empty when it has none. */
    String text() {
        String delta =
                json.path("choices").path(0).path("delta").path("content").asText("");
        return delta.isEmpty() ? json.path("choices").path(0).path("text").asText("") : delta;
    }

    /** Returns the reason for the end that the chunk gives; empty when it gives none. */
    String finishReason() {
        return json.path("choices").path(0).path("finish_reason").asText("");
    }

    boolean hasUsage() {
        return json.path("usage").isObject();
    }
}
