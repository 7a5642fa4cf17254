package org.hornbeamhead.router;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.hornbeamhead.core.config.Customer;
import org.hornbeamhead.core.config.Pool;
import org.hornbeamhead.core.config.RequestClass;
import org.hornbeamhead.core.crash.RequestFingerprint;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.prefix.PrefixSeed;
import org.hornbeamhead.daemon.Json;

/**
 * A model request that was decoded and identified.
 *
 * @param id the request's id, the caller's or drawn here
 * @param path the path it came at
 * @param customer who sent it
 * @param requestClass its class of work
 * @param pool the pool that serves its model
 * @param seed what separates its cache entries from others
 * @param chain the levels of its prompt
 * @param body the caller's JSON
 * @param stream whether the caller wants the answer piece by piece
 * @param maxTokens how many tokens to generate
 */
public record ModelRequest(
        String id,
        String path,
        Customer customer,
        RequestClass requestClass,
        Pool pool,
        PrefixSeed seed,
        PrefixChain chain,
        ObjectNode body,
        boolean stream,
        int maxTokens) {
    /**
     * Names the request by its content.
     *
     * @return the fingerprint
     */
    public RequestFingerprint fingerprint() {
        return RequestFingerprint.of(path, customer.name(), Json.write(body).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Tells whether the prompt is a list of messages.
     *
     * @return true for chat, false for plain completions
     */
    public boolean isChat() {
        return path.endsWith("/chat/completions");
    }
}
