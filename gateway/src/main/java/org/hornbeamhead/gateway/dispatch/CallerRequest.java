package org.hornbeamhead.gateway.dispatch;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.engine.Prompt;
import org.hornbeamhead.core.http.WholeRequest;

/**
 * A caller's request and the values decoded from its headers.
 *
 * @param message the complete HTTP request as received
 * @param id the request id; empty when the caller sent none
 * @param host the requested host
 * @param key the customer's key
 * @param timeLeftMillis how long the caller will wait, in milliseconds
 * @param prompt the parsed prompt, for requests to engines
 * @param tokenCount the number of prompt tokens and of output tokens at most; empty if the caller stated none, or a
 *     message that says why what it stated is invalid
 * @param lastEventId the id of the event after which the caller wants to resume a stream
 * @param resumedAttempt the id of the request that brought the first event of that stream; empty if the caller names
 *     none, or not just one
 */
public record CallerRequest(
        WholeRequest message,
        String id,
        String host,
        Optional<String> key,
        OptionalLong timeLeftMillis,
        Optional<Prompt> prompt,
        Either<String, OptionalLong> tokenCount,
        OptionalLong lastEventId,
        Optional<String> resumedAttempt) {}
