package org.hornbeamhead.core.forward;

import java.util.Locale;
import org.hornbeamhead.core.route.RequestKind;
import org.hornbeamhead.core.route.Route;

/** How a request ended for its caller, compared with the targets of its route. */
public enum ServedOutcome {
    /** The response was complete and met the targets. */
    ON_TIME,
    /** The stream was complete, but its first event was late. */
    LATE_FIRST_EVENT,
    /** The stream was complete and began on time, but a pause between two events was too long. */
    LATE_PAUSE,
    /** The response, which is no stream, was complete but late. */
    LATE,
    /** The request was not run. */
    REFUSED,
    /** The response was an error, was lost, or broke off. */
    FAILED,
    /** The caller disconnected first. */
    CALLER_GONE;

    /**
     * Returns the outcome of a request whose response was complete.
     *
     * @param route the route, whose targets of 0 are not checked
     * @param times when the response reached the caller
     * @return the outcome
     */
    public static ServedOutcome delivered(Route route, ServedTimes times) {
        if (route.kind() != RequestKind.STREAM) {
            return exceeds(times.totalMillis(), route.limits().latencyTargetMillis()) ? LATE : ON_TIME;
        }
        // An answer on a streaming route that is no stream is complete when it begins.
        long firstMillis = times.firstMillis() < 0 ? times.totalMillis() : times.firstMillis();
        if (exceeds(firstMillis, route.limits().latencyTargetMillis())) {
            return LATE_FIRST_EVENT;
        }
        return exceeds(times.longestPauseMillis(), route.limits().gapTargetMillis()) ? LATE_PAUSE : ON_TIME;
    }

    /**
     * Returns the outcome of a request that no replica completed.
     *
     * @param response the router's final response
     * @return the outcome
     */
    public static ServedOutcome of(FinalResponse response) {
        return response == FinalResponse.NOT_RUN || response == FinalResponse.OVER_QUOTA ? REFUSED : FAILED;
    }

    private static boolean exceeds(long millis, long targetMillis) {
        return targetMillis > 0 && millis > targetMillis;
    }

    /**
     * Returns the name used in metrics.
     *
     * @return the name, such as {@code on_time}
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
