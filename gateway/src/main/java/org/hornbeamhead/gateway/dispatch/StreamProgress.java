package org.hornbeamhead.gateway.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.stream.EventSplitter;

/** The last event of a stream that was relayed to the caller, and the software that wrote the first one. */
final class StreamProgress {
    private OptionalLong lastId;
    private Optional<SoftwareVersion> software = Optional.empty();

    StreamProgress(OptionalLong resumeAfter) {
        this.lastId = resumeAfter;
    }

    OptionalLong lastEventId() {
        return lastId;
    }

    /** Returns the version of the software that wrote the first event; empty before it, or if it is not known. */
    Optional<SoftwareVersion> software() {
        return software;
    }

    /** Records which software wrote events that were relayed, and returns whether it is that of the first one. */
    boolean recordSoftware(SoftwareVersion writer) {
        software = software.or(() -> Optional.of(writer));
        return software.get().equals(writer);
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
