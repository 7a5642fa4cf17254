package org.hornbeamhead.core.crash;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.hornbeamhead.core.hash.FieldHash;

/**
 * A property of requests that can be the cause of crashes: each replica that runs a request with it may crash. What a
 * property says about the request cannot be recovered from it.
 *
 * @param kind the kind of property
 * @param value a hash that distinguishes properties of the same kind
 */
public record CrashFeature(Kind kind, long value) {
    private static final String PROMPT_PART_FIELD = "prompt part";

    /** The kinds of properties. */
    public enum Kind {
        /** The whole content of a request, whatever id its caller set. */
        CONTENT,
        /** A part of a prompt that requests of any caller may share, wherever it stands in the prompt. */
        PROMPT_PART
    }

    /**
     * Creates the feature of a content.
     *
     * @param path the path including the query
     * @param customer the customer's name, empty for anonymous callers
     * @param body the request body
     * @return the feature
     */
    public static CrashFeature content(String path, String customer, byte[] body) {
        return new CrashFeature(
                Kind.CONTENT,
                FieldHash.of(path.getBytes(StandardCharsets.UTF_8), customer.getBytes(StandardCharsets.UTF_8), body));
    }

    /**
     * Creates the feature of a prompt part.
     *
     * @param id the part's hexadecimal id; case and leading zeros make no difference
     * @return the feature
     */
    public static CrashFeature promptPart(String id) {
        String digits = id.toLowerCase(Locale.ROOT).replaceFirst("^0+(?=.)", "");
        return new CrashFeature(Kind.PROMPT_PART, FieldHash.of(PROMPT_PART_FIELD, digits));
    }

    @Override
    public String toString() {
        return String.format("%016x", value);
    }
}
