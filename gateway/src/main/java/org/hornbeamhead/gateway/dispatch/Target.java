package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import org.hornbeamhead.gateway.replica.LiveReplica;

/**
 * Where one try goes.
 *
 * @param replica the replica
 * @param engine what an engine is told; empty for a plain service
 * @param predictedMillis the predicted time to the first byte, in milliseconds; 0 when not predicted
 * @param why why it was chosen, for the log
 */
record Target(LiveReplica replica, Optional<SendOrder.EngineOrder> engine, double predictedMillis, String why) {}
