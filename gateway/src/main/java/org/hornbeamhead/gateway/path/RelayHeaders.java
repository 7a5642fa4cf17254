package org.hornbeamhead.gateway.path;

import java.util.Locale;
import java.util.OptionalLong;
import java.util.Set;
import org.hornbeamhead.core.http.Headers;

/** The header fields that routers add to requests which they hand to one another, and to the answers. */
public final class RelayHeaders {
    /** The version of the configuration by which the first router chose the route. */
    private static final String CONFIGURATION = "Hornbeam-Configuration";
    /** How many attempts of the first router a replica may have run. */
    private static final String POSSIBLE_EXECUTIONS = "Hornbeam-Possible-Executions";
    /** In an answer: why the router does not take the request, which another router may take. */
    private static final String DECLINED = "Hornbeam-Declined";

    private static final Set<String> REQUEST_HEADERS =
            Set.of(CONFIGURATION.toLowerCase(Locale.ROOT), POSSIBLE_EXECUTIONS.toLowerCase(Locale.ROOT));

    private RelayHeaders() {}

    /**
     * What the first router tells with a request.
     *
     * @param configurationVersion the version of the configuration by which it chose the route
     * @param possibleExecutions how many of its attempts a replica may have run
     */
    public record Origin(long configurationVersion, int possibleExecutions) {}

    /**
     * Adds what this router tells with a request.
     *
     * @param headers the headers of the request; fields of these names are replaced
     * @param origin what to tell
     * @return the extended headers
     */
    public static Headers withOrigin(Headers headers, Origin origin) {
        return withoutOrigin(headers)
                .with(CONFIGURATION, Long.toString(origin.configurationVersion()))
                .with(POSSIBLE_EXECUTIONS, Integer.toString(origin.possibleExecutions()));
    }

    /**
     * Removes the fields that only routers set.
     *
     * @param headers the headers of a request
     * @return the other headers
     */
    public static Headers withoutOrigin(Headers headers) {
        return headers.without(REQUEST_HEADERS::contains);
    }

    /**
     * Reads what the first router tells with a request.
     *
     * @param headers the headers of the request
     * @return what it tells; a missing or damaged number of attempts counts as one, so that nothing is promised
     */
    public static Origin origin(Headers headers) {
        OptionalLong executions = headers.number(POSSIBLE_EXECUTIONS);
        return new Origin(headers.number(CONFIGURATION).orElse(Long.MAX_VALUE), (int)
                Math.min(Integer.MAX_VALUE, executions.orElse(1)));
    }

    /**
     * Creates the headers of an answer that declines a request which has not run.
     *
     * @param reason why, for the log of the first router
     * @return the headers
     */
    public static Headers declined(String reason) {
        return Headers.NONE.with(DECLINED, reason);
    }

    /**
     * Returns whether an answer declines a request.
     *
     * @param headers the headers of the answer
     * @return true if another router may take it
     */
    public static boolean isDeclined(Headers headers) {
        return headers.first(DECLINED).isPresent();
    }
}
