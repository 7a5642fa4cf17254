package org.hornbeamhead.gateway.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.OptionalLong;
import org.hornbeamhead.core.stream.EventSplitter;

/** The id of the last event of a stream that was relayed to the caller. */
final class StreamProgress {
    private OptionalLong lastId;

    StreamProgress(OptionalLong resumeAfter) {
        this.lastId = resumeAfter;
    }

    OptionalLong lastEventId() {
        return lastId;
    }

    /** Records events and returns the bytes of those that are new. */
    byte[] newEvents(List<EventSplitter.Event> events) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        events.stream().filter(e -> advance(e.id())).forEach(e -> bytes.writeBytes(e.bytes()));
        return bytes.toByteArray();
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
