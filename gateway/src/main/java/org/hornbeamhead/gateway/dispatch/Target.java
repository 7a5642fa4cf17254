package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.gateway.replica.LiveReplica;

/**
 * Where one try goes.
 *
 * @param replica the replica
 * @param engine what an engine is told; empty for a plain service
 * @param choice how an engine was chosen; empty for a plain service
 * @param why why it was chosen, for the log
 */
record Target(LiveReplica replica, Optional<SendOrder.EngineOrder> engine, Optional<EngineChoice> choice, String why) {
    /** The predicted time to the first event, in milliseconds; 0 when not predicted. */
    double predictedMillis() {
        return choice.map(EngineChoice::predictedMillis).orElse(0.0);
    }

    @Override
    public String toString() {
        return replica.entry().id() + " " + why
                + choice.map(c -> " waitMillis=" + Math.round(c.waitMillis()) + " predictedMillis="
                                + Math.round(c.predictedMillis()))
                        .orElse("");
    }
}
