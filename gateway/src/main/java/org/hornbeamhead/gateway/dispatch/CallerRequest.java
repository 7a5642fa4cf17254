package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.engine.Prompt;
import org.hornbeamhead.core.http.WholeRequest;

/**
 * A caller's request, read out of its dialect.
 *
 * @param whole the request as it came
 * @param id names this request; empty when the caller gave none
 * @param host the host that the caller asks for
 * @param key the customer's key
 * @param timeLeftMillis how long the caller will wait, in milliseconds
 * @param prompt the prompt's parts, for requests to engines
 * @param lastEvent the event after which the caller wants a stream to go on
 */
public record CallerRequest(
        WholeRequest whole,
        String id,
        String host,
        Optional<String> key,
        OptionalLong timeLeftMillis,
        Optional<Prompt> prompt,
        OptionalLong lastEvent) {}
