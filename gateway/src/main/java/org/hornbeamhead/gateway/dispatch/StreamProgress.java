package org.hornbeamhead.gateway.dispatch;

import java.util.OptionalLong;

/** How far a stream has come to the caller. */
final class StreamProgress {
    private OptionalLong last;

    StreamProgress(OptionalLong asked) {
        this.last = asked;
    }

    OptionalLong lastEvent() {
        return last;
    }

    /** Tells whether an event is new, and notes it. */
    boolean advance(OptionalLong id) {
        if (id.isPresent() && last.isPresent() && id.getAsLong() <= last.getAsLong()) {
            return false;
        }
        if (id.isPresent()) {
            last = id;
        }
        return true;
    }
}
