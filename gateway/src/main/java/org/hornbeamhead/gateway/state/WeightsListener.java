package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;

/** Records the versions of weights that are read from the store in the view of this router. */
public final class WeightsListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Maximum age in the log, in milliseconds; used if the view has never been confirmed. */
    private static final long MAX_LOGGED_MILLIS = 1_000_000;

    private final Clock clock;
    private final StoreMirror mirror;
    private final RoutingState state;
    private final WeightsView weights;

    /**
     * Creates a listener.
     *
     * @param clock the clock
     * @param mirror the mirror from which the versions are read
     * @param state the routing state, which knows up to when the mirror is complete
     * @param weights the view
     */
    public WeightsListener(Clock clock, StoreMirror mirror, RoutingState state, WeightsView weights) {
        this.clock = clock;
        this.mirror = mirror;
        this.state = state;
        this.weights = weights;
    }

    /**
     * Records a published version.
     *
     * @param model the model
     * @param version the published version
     * @param revision the revision of the store at which it was written, for the log
     */
    public void versionPublished(String model, long version, long revision) {
        long now = clock.monotonicMillis();
        logger.atInfo()
                .with(Logs.DECISION, "weights named")
                .with(
                        Logs.INPUTS,
                        "model=" + model + " version=" + version + " revision=" + revision + " provenMillisAgo="
                                + Math.min(now - state.completeUpTo(), MAX_LOGGED_MILLIS))
                .log("weights version published: %d", version);
        if (mirror.revision() == 0) {
            weights.recordFound(model, version, now);
        } else {
            weights.recordPublished(model, version, state.completeUpTo());
        }
    }
}
