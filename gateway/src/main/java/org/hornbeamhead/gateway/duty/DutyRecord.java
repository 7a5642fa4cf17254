package org.hornbeamhead.gateway.duty;

import org.hornbeamhead.daemon.Json;

/**
 * What stands in the store about a duty.
 *
 * @param holder the router that has it, or had it last
 * @param released whether the holder gave it back, which it does only some time after its last order
 */
record DutyRecord(String holder, boolean released) {
    String text() {
        return Json.write(this);
    }
}
