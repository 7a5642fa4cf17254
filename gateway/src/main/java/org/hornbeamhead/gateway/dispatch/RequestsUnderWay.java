package org.hornbeamhead.gateway.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;
import org.hornbeamhead.core.crash.RequestFingerprint;

/**
 * The requests that are under way.
 *
 * <p>Failure: copies of a request wait at replicas when it is found to end the replicas that run it. Symptom: each copy
 * ends one more replica as soon as it begins, though no router sends the request any more. Copies of which nothing has
 * come yet are taken back.
 *
 * <p>Owned by one thread.
 */
final class RequestsUnderWay {
    private final Set<Exchange> exchanges = new LinkedHashSet<>();

    void began(Exchange exchange) {
        exchanges.add(exchange);
    }

    void ended(Exchange exchange) {
        exchanges.remove(exchange);
    }

    /** A request is held back from now on. */
    void held(RequestFingerprint content) {
        exchanges.stream().filter(e -> e.awaits(content)).toList().forEach(Exchange::takeBack);
    }
}
