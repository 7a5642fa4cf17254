package org.hornbeamhead.gateway.explain;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.hornbeamhead.core.engine.Prompt;
import org.hornbeamhead.core.engine.PromptPart;

/**
 * The request that an operator asks about.
 *
 * @param host the requested host
 * @param path the path with an optional query
 * @param key the API key
 * @param id the request id, which selects one of several services of a route
 * @param model the model; empty for requests without a prompt
 * @param parts the parts of the prompt
 * @param maxOutputTokens the maximum length of the answer, in tokens
 * @param expectedOutputTokens the caller's estimate of that length, in tokens
 */
public record ExplainQuery(
        String host,
        String path,
        Optional<String> key,
        String id,
        Optional<String> model,
        List<PromptPart> parts,
        OptionalInt maxOutputTokens,
        OptionalInt expectedOutputTokens) {
    private static final Set<String> FIELDS =
            Set.of("host", "path", "key", "id", "model", "prompt", "max_output_tokens", "expected_output_tokens");
    /** Bounds the sum of all parts, with {@link #MAX_PARTS}, to what an int holds. */
    private static final int MAX_TOKENS = 10_000_000;

    private static final int MAX_PARTS = 64;
    private static final int MAX_DIGITS = 9;

    /** Copies the parts. */
    public ExplainQuery {
        parts = List.copyOf(parts);
    }

    /**
     * Parses the fields of a query.
     *
     * @param fields the fields by name
     * @return the query, or the first field that is wrong
     */
    public static Either<FieldError, ExplainQuery> parse(Map<String, String> fields) {
        Optional<String> unknown = new TreeSet<>(fields.keySet())
                .stream().filter(name -> !FIELDS.contains(name)).findFirst();
        if (unknown.isPresent()) {
            return error(unknown.get(), "is no field; the fields are " + String.join(", ", new TreeSet<>(FIELDS)));
        }
        for (String name : List.of("host", "path")) {
            if (!fields.containsKey(name)) {
                return error(name, "is missing");
            }
        }
        for (Map.Entry<String, String> field : fields.entrySet()) {
            if (field.getValue().isBlank()) {
                return error(field.getKey(), "is empty");
            }
        }
        if (!fields.get("path").startsWith("/")) {
            return error("path", "does not start with a slash");
        }
        if (fields.containsKey("prompt") && !fields.containsKey("model")) {
            return error("model", "is missing; a prompt belongs to a model");
        }
        return parseParts(Optional.ofNullable(fields.get("prompt")))
                .flatMap(parts -> parseTokens("max_output_tokens", fields)
                        .flatMap(max -> parseTokens("expected_output_tokens", fields)
                                .map(expected -> new ExplainQuery(
                                        fields.get("host"),
                                        fields.get("path"),
                                        Optional.ofNullable(fields.get("key")),
                                        fields.getOrDefault("id", "explain"),
                                        Optional.ofNullable(fields.get("model")),
                                        parts,
                                        max,
                                        expected))));
    }

    private static Either<FieldError, List<PromptPart>> parseParts(Optional<String> prompt) {
        List<PromptPart> parts = new ArrayList<>();
        String[] texts = prompt.map(p -> p.split(",", -1)).orElse(new String[0]);
        if (texts.length > MAX_PARTS) {
            return error("prompt", "has " + texts.length + " parts, more than " + MAX_PARTS);
        }
        for (String text : texts) {
            int colon = text.indexOf(':');
            OptionalInt tokens = colon > 0 ? tokens(text.substring(colon + 1).trim()) : OptionalInt.empty();
            if (tokens.isEmpty()) {
                return error("prompt", "'" + text + "' is not ID:TOKENS with 0 to " + MAX_TOKENS + " tokens in digits");
            }
            parts.add(new PromptPart(text.substring(0, colon).trim(), tokens.getAsInt()));
        }
        return Either.right(parts);
    }

    private static Either<FieldError, OptionalInt> parseTokens(String name, Map<String, String> fields) {
        if (!fields.containsKey(name)) {
            return Either.right(OptionalInt.empty());
        }
        OptionalInt value = tokens(fields.get(name));
        return value.isPresent()
                ? Either.right(value)
                : error(name, "'" + fields.get(name) + "' is not a number from 0 to " + MAX_TOKENS);
    }

    private static OptionalInt tokens(String text) {
        boolean number =
                !text.isEmpty() && text.length() <= MAX_DIGITS && text.chars().allMatch(c -> c >= '0' && c <= '9');
        return number && Integer.parseInt(text) <= MAX_TOKENS
                ? OptionalInt.of(Integer.parseInt(text))
                : OptionalInt.empty();
    }

    private static <T> Either<FieldError, T> error(String field, String reason) {
        return Either.left(new FieldError(field, reason));
    }

    /**
     * Returns the prompt.
     *
     * @return the prompt; empty if the query names no model
     */
    public Optional<Prompt> prompt() {
        return model.map(m -> new Prompt(m, parts, maxOutputTokens.orElse(0), expectedOutputTokens));
    }

    /**
     * Returns what the request counts in a quota of tokens.
     *
     * @return the tokens of the prompt and of the longest answer; empty if the query states neither
     */
    public OptionalLong tokenCount() {
        return parts.isEmpty() && maxOutputTokens.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(parts.stream().mapToLong(PromptPart::tokens).sum() + maxOutputTokens.orElse(0));
    }
}
