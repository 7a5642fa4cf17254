package org.hornbeamhead.gateway.path;

import io.vavr.control.Try;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.resume.SoftwareVersion;

/** The header fields that routers add to requests which they hand to one another, and to the answers. */
public final class RelayHeaders {
    /** The version of the configuration by which the first router chose the route. */
    private static final String CONFIGURATION = "Hornbeam-Configuration";
    /** How many attempts of the first router a replica may have run. */
    private static final String POSSIBLE_EXECUTIONS = "Hornbeam-Possible-Executions";
    /** How many times replicas may run the request at the router that it is handed to. */
    private static final String ALLOWED_EXECUTIONS = "Hornbeam-Allowed-Executions";
    /** In an answer: why the router does not take the request, which another router may take. */
    private static final String DECLINED = "Hornbeam-Declined";

    /** In a request or an answer: which software began the stream, as a hexadecimal number. */
    private static final String SOFTWARE = "Hornbeam-Stream-Software";

    /** In an answer: the run of the replica that gave it. */
    private static final String REPLICA = "Hornbeam-Replica";

    private static final int HEX = 16;

    private static final Set<String> REQUEST_HEADERS = Set.of(
            CONFIGURATION.toLowerCase(Locale.ROOT),
            POSSIBLE_EXECUTIONS.toLowerCase(Locale.ROOT),
            ALLOWED_EXECUTIONS.toLowerCase(Locale.ROOT),
            SOFTWARE.toLowerCase(Locale.ROOT));

    private RelayHeaders() {}

    /**
     * What the first router tells with a request.
     *
     * @param configurationVersion the version of the configuration by which it chose the route
     * @param possibleExecutions how many attempts before a replica may have run
     * @param allowedExecutions how many attempts more replicas may run
     * @param software the software that began the stream which goes on; empty for a new one, or if it is not known
     */
    public record Origin(
            long configurationVersion,
            int possibleExecutions,
            int allowedExecutions,
            Optional<SoftwareVersion> software) {}

    /**
     * Adds what this router tells with a request.
     *
     * @param headers the headers of the request; fields of these names are replaced
     * @param origin what to tell
     * @return the extended headers
     */
    public static Headers withOrigin(Headers headers, Origin origin) {
        Headers extended = withoutOrigin(headers)
                .with(CONFIGURATION, Long.toString(origin.configurationVersion()))
                .with(POSSIBLE_EXECUTIONS, Integer.toString(origin.possibleExecutions()))
                .with(ALLOWED_EXECUTIONS, Integer.toString(origin.allowedExecutions()));
        return withSoftware(extended, origin.software());
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
     * @return what it tells; a missing or damaged number of attempts counts as one, so that nothing is promised, and
     *     the request runs once here at most
     */
    public static Origin origin(Headers headers) {
        return new Origin(
                headers.number(CONFIGURATION).orElse(Long.MAX_VALUE),
                executions(headers, POSSIBLE_EXECUTIONS),
                executions(headers, ALLOWED_EXECUTIONS),
                software(headers));
    }

    private static int executions(Headers headers, String name) {
        return (int) Math.min(Integer.MAX_VALUE, headers.number(name).orElse(1));
    }

    /**
     * Adds which software began a stream.
     *
     * @param headers the headers of a request or an answer between routers
     * @param software the version, empty to add nothing
     * @return the extended headers
     */
    public static Headers withSoftware(Headers headers, Optional<SoftwareVersion> software) {
        return software.map(s -> headers.with(SOFTWARE, s.toString())).orElse(headers);
    }

    /**
     * Adds to a replica's answer for another router who gave it.
     *
     * @param headers the headers of the answer; fields of these names are replaced
     * @param run the run of the replica
     * @param software the software that began the stream, empty for other answers
     * @return the extended headers
     */
    public static Headers withAuthor(Headers headers, String run, Optional<SoftwareVersion> software) {
        return withSoftware(forCaller(headers).with(REPLICA, run), software);
    }

    /**
     * Reads which replica gave an answer.
     *
     * @param headers the headers of an answer of another router
     * @return the run of the replica; empty if the router answered itself
     */
    public static Optional<String> replica(Headers headers) {
        return headers.first(REPLICA);
    }

    /**
     * Removes from an answer of another router what is not meant for callers.
     *
     * @param headers the headers of the answer
     * @return the other headers
     */
    public static Headers forCaller(Headers headers) {
        return headers.without(name -> SOFTWARE.equalsIgnoreCase(name) || REPLICA.equalsIgnoreCase(name));
    }

    /**
     * Reads which software began a stream.
     *
     * @param headers the headers of a request or an answer of another router
     * @return the version, empty if none is named
     */
    public static Optional<SoftwareVersion> software(Headers headers) {
        return headers.first(SOFTWARE)
                .flatMap(text -> Try.of(() -> Long.parseUnsignedLong(text, HEX)).toJavaOptional())
                .map(SoftwareVersion::new);
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
