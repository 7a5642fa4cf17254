package org.hornbeamhead.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

/** Reads and writes JSON. */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Json() {}

    /**
     * Makes an empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Reads a text into a tree.
     *
     * @param text the JSON text
     * @return the tree, or where the text is wrong
     */
    public static Either<String, JsonNode> parse(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            return node == null || node.isMissingNode() ? Either.left("the text is empty") : Either.right(node);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            int column = e.getLocation() == null ? 0 : e.getLocation().getColumnNr();
            return Either.left("no JSON at line " + line + ", column " + column + ": " + e.getOriginalMessage());
        }
    }

    /**
     * Reads a text into a record.
     *
     * @param text the JSON text
     * @param type the record
     * @param <T> the type
     * @return the record, or what is wrong
     */
    public static <T> Either<String, T> read(String text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            return value == null ? Either.left("the text holds no value") : Either.right(value);
        } catch (JsonProcessingException e) {
            return Either.left(e.getOriginalMessage());
        }
    }

    /**
     * Writes a value.
     *
     * @param value a record or a tree
     * @return the JSON text on one line
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a value of this program's own cannot be written", e);
        }
    }
}
