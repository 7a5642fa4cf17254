package org.hornbeamhead.gateway.dispatch;

import java.util.OptionalLong;

/** The id of the last event of a stream that was relayed to the caller. */
final class StreamProgress {
    private OptionalLong lastId;

    StreamProgress(OptionalLong resumeAfter) {
        this.lastId = resumeAfter;
    }

    OptionalLong lastEventId() {
        return lastId;
    }

    /** Records an event and returns whether it is new. Events without an id always count as new. */
    boolean advance(OptionalLong id) {
        if (id.isPresent() && lastId.isPresent() && id.getAsLong() <= lastId.getAsLong()) {
            return false;
        }
        if (id.isPresent()) {
            lastId = id;
        }
        return true;
    }
}
