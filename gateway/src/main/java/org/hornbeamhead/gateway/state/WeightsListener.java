package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;

/** Takes the names of weights that are read from the store over into this router's view of them. */
public final class WeightsListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** In the log, a view of which nothing is proven is as old as this, in milliseconds. */
    private static final long MAX_LOGGED_MILLIS = 1_000_000;

    private final Clock clock;
    private final StoreMirror mirror;
    private final RoutingState state;
    private final WeightsView weights;

    /**
     * Makes a listener.
     *
     * @param clock the clock
     * @param mirror the mirror that the names come from
     * @param state tells before when the mirror misses nothing
     * @param weights the view
     */
    public WeightsListener(Clock clock, StoreMirror mirror, RoutingState state, WeightsView weights) {
        this.clock = clock;
        this.mirror = mirror;
        this.state = state;
        this.weights = weights;
    }

    /**
     * Takes over a name.
     *
     * @param model the model
     * @param version the version that is named
     * @param revision the store's revision at which it was written, for the log
     */
    public void versionPublished(String model, long version, long revision) {
        long now = clock.monotonicMillis();
        logger.atInfo()
                .with(Logs.DECISION, "weights named")
                .with(
                        Logs.INPUTS,
                        "model=" + model + " version=" + version + " revision=" + revision + " provenMillisAgo="
                                + Math.min(now - state.completeUpTo(), MAX_LOGGED_MILLIS))
                .log("weights named: %d", version);
        if (mirror.revision() == 0) {
            weights.recordFound(model, version, now);
        } else {
            weights.recordPublished(model, version, state.completeUpTo());
        }
    }
}
