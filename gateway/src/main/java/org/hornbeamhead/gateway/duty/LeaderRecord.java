package org.hornbeamhead.gateway.duty;

import org.hornbeamhead.daemon.Json;

/**
 * The state of the leader lease as it is stored.
 *
 * @param holder the router that holds the lease or held it last
 * @param released whether the holder released it
 * @param waitMillis how long the next leader waits before its first order, in milliseconds from when it received the
 *     released record
 */
record LeaderRecord(String holder, boolean released, long waitMillis) {
    static LeaderRecord heldBy(String holder) {
        return new LeaderRecord(holder, false, 0);
    }

    static LeaderRecord releasedBy(String holder, long waitMillis) {
        return new LeaderRecord(holder, true, waitMillis);
    }

    String toJson() {
        return Json.write(this);
    }
}
