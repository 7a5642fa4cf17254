package org.hornbeamhead.gateway.duty;

import org.hornbeamhead.daemon.Json;

/**
 * What stands in the store about a duty.
 *
 * @param holder the router that has it, or had it last
 * @param released whether the holder gave it back
 * @param waitMillis how long the next holder waits before its first order, in milliseconds from when it heard that the
 *     duty was given back
 */
record DutyRecord(String holder, boolean released, long waitMillis) {
    static DutyRecord held(String holder) {
        return new DutyRecord(holder, false, 0);
    }

    static DutyRecord free(String holder, long waitMillis) {
        return new DutyRecord(holder, true, waitMillis);
    }

    String text() {
        return Json.write(this);
    }
}
