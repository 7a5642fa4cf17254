package org.hornbeamhead.core.crash;

import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;

/**
 * The properties of a request by which it is recognized, whoever sends it and under whatever id.
 *
 * @param content the feature of the whole content
 * @param promptParts the features of the prompt parts that other requests may share
 */
public record RequestFingerprint(CrashFeature content, List<CrashFeature> promptParts) {
    /** More than prompts are nested in levels; limits what a single crash adds to the history. */
    private static final int MAX_PROMPT_PARTS = 64;

    /** Keeps each part once. */
    public RequestFingerprint {
        promptParts = promptParts.stream().distinct().limit(MAX_PROMPT_PARTS).toList();
    }

    /**
     * Computes the fingerprint of a request without a prompt of named parts.
     *
     * @param path the path including the query
     * @param customer the customer's name, empty for anonymous callers
     * @param body the request body
     * @return the fingerprint
     */
    public static RequestFingerprint of(String path, String customer, byte[] body) {
        return new RequestFingerprint(CrashFeature.content(path, customer, body), List.of());
    }

    /**
     * Returns this fingerprint with the features of prompt parts.
     *
     * @param ids the ids of the parts that other requests may share
     * @return the fingerprint with these parts only
     */
    public RequestFingerprint withPromptParts(Collection<String> ids) {
        return new RequestFingerprint(
                content, ids.stream().map(CrashFeature::promptPart).toList());
    }

    /**
     * Returns all features.
     *
     * @return the content and the prompt parts
     */
    public Stream<CrashFeature> features() {
        return Stream.concat(Stream.of(content), promptParts.stream());
    }

    @Override
    public String toString() {
        return content.toString();
    }
}
