package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.gateway.replica.LiveReplica;

/**
 * The replica selected for an attempt.
 *
 * @param replica the replica
 * @param engineOptions options for an engine; empty for a plain service
 * @param engineChoice how the engine was chosen; empty for a plain service
 * @param reason why the replica was selected, for the log
 */
record Target(
        LiveReplica replica,
        Optional<ForwardingOptions.EngineOptions> engineOptions,
        Optional<EngineChoice> engineChoice,
        String reason) {
    /** Returns the predicted time to the first event, in milliseconds, or 0 if there is no prediction. */
    double predictedMillis() {
        return engineChoice.map(EngineChoice::predictedMillis).orElse(0.0);
    }

    /** Returns a description for error responses to callers; its format is part of the interface. */
    @Override
    public String toString() {
        return replica.entry().id() + " " + reason
                + engineChoice
                        .map(c -> " waitMillis=" + Math.round(c.waitMillis()) + " predictedMillis="
                                + Math.round(c.predictedMillis()))
                        .orElse("");
    }
}
