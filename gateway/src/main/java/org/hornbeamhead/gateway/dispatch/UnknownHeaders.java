package org.hornbeamhead.gateway.dispatch;

import com.google.common.flogger.FluentLogger;
import java.util.Set;
import java.util.TreeSet;
import org.hornbeamhead.core.http.Header;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;

/**
 * Reports headers of replicas that this router does not know. They are forwarded to callers like any others, but may
 * state something that routers have to heed.
 */
final class UnknownHeaders {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Bounds the metric's labels and the log, since a replica may send any names. */
    private static final int MAX_NAMES = 32;

    private static final int MAX_NAME_LENGTH = 64;
    private static final String OTHER = "other";

    private final HeaderCodec headerCodec;
    private final Metrics metrics;
    private final Set<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);

    UnknownHeaders(HeaderCodec headerCodec, Metrics metrics) {
        this.headerCodec = headerCodec;
        this.metrics = metrics;
    }

    /** Counts the unknown headers of an answer, and logs each name once. */
    void observe(ResponseHead head, String replica, String request) {
        head.headers().lines().stream()
                .map(Header::name)
                .filter(name -> !headerCodec.isKnownResponseHeader(name))
                .forEach(name -> report(name, replica, request));
    }

    private void report(String name, String replica, String request) {
        String label = label(name);
        metrics.count("hornbeam_unknown_headers", "name", label);
        if (names.add(label)) {
            logger.atWarning()
                    .with(Logs.REQUEST, request)
                    .with(Logs.REPLICA, replica)
                    .with(Logs.DECISION, "unknown header")
                    .log("the replica sends a header that this router does not know: %s", label);
        }
    }

    private String label(String name) {
        boolean isNew = !names.contains(name);
        return name.length() > MAX_NAME_LENGTH || (isNew && names.size() >= MAX_NAMES) ? OTHER : name;
    }
}
