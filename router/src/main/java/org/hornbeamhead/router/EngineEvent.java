package org.hornbeamhead.router;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hornbeamhead.daemon.Json;

/**
 * An event of a model's answer as the caller gets it. Almost all events are tokens that are only passed on, so that the
 * text is scanned, and parsed only where its parts are needed: a tree for each token took most of a router's time.
 *
 * @param data the chunk's JSON text, under the caller's request id
 */
record EngineEvent(String data) {
    private static final String CONTENT = "\"content\":\"";
    private static final String TEXT = "\"text\":\"";
    private static final String USAGE = "\"usage\":{";
    private static final String ID = "\"id\":\"";

    /** Finds the value of a chunk's id without parsing it; empty when the text does not begin with it. */
    static String idOf(String data) {
        int from = data.indexOf(ID);
        int end = from < 0 ? -1 : data.indexOf('"', from + ID.length());
        boolean leading = from == 1 && data.charAt(0) == '{' && end > 0;
        return leading ? data.substring(from + ID.length(), end) : "";
    }

    /** Makes the event that a caller gets of a chunk: under the caller's id instead of the attempt's. */
    static EngineEvent of(String data, String callerId) {
        String id = idOf(data);
        if (id.isEmpty()) {
            ObjectNode json = (ObjectNode) Json.parse(data).get();
            return new EngineEvent(Json.write(json.put("id", callerId)));
        }
        int from = 1 + ID.length();
        return new EngineEvent(data.substring(0, from) + callerId + data.substring(from + id.length()));
    }

    /** Tells whether the chunk carries text. A quote inside a JSON string is escaped, so that the key cannot be one. */
    boolean hasText() {
        return hasValue(CONTENT) || hasValue(TEXT);
    }

    private boolean hasValue(String key) {
        int at = data.indexOf(key);
        return at >= 0 && data.charAt(at + key.length()) != '"';
    }

    boolean hasUsage() {
        return data.contains(USAGE);
    }

    ObjectNode json() {
        return (ObjectNode) Json.parse(data).get();
    }

    /** Returns the text of the chunk's first choice; empty when it has none. */
    String text() {
        ObjectNode json = json();
        String delta =
                json.path("choices").path(0).path("delta").path("content").asText("");
        return delta.isEmpty() ? json.path("choices").path(0).path("text").asText("") : delta;
    }

    /** Returns the reason for the end that the chunk gives; empty when it gives none. */
    String finishReason() {
        return json().path("choices").path(0).path("finish_reason").asText("");
    }
}
