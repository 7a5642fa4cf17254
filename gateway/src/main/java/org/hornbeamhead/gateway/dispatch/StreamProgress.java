package org.hornbeamhead.gateway.dispatch;

import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.stream.EventSplitter;

/** The events of a stream that were relayed to the caller, and the software that wrote the first one. */
final class StreamProgress {
    /** From as many steps on, numbers that rose by one each time are taken to go on so. */
    private static final int MIN_STEPS = 2;

    private OptionalLong lastId;
    private OptionalInt lastContent = OptionalInt.empty();
    private int steps;
    private boolean skipping;
    private boolean unnumbered;
    private Optional<SoftwareVersion> software;

    /**
     * Creates the state of a stream.
     *
     * @param resumeAfter the last event that the caller got before; empty for a new stream
     * @param software the software that wrote the events before; empty for a new stream
     */
    StreamProgress(OptionalLong resumeAfter, Optional<SoftwareVersion> software) {
        this.lastId = resumeAfter;
        this.software = software;
    }

    OptionalLong lastEventId() {
        return lastId;
    }

    /** Returns the version of the software that wrote the first event; empty before it, or if it is not known. */
    Optional<SoftwareVersion> software() {
        return software;
    }

    /** Returns whether the stream may go on at a replica with a version of the software. */
    boolean mayGoOnAt(SoftwareVersion version) {
        return software.isEmpty() || software.get().equals(version);
    }

    /** Returns whether the events that were relayed say where another replica has to go on. */
    boolean mayGoOnElsewhere() {
        return !unnumbered;
    }

    /** Records which software wrote events that are relayed, and returns whether they are the first ones. */
    boolean recordSoftware(SoftwareVersion writer) {
        boolean first = software.isEmpty();
        software = software.or(() -> Optional.of(writer));
        return first;
    }

    /** Records an event and returns whether it is new. Events without an id always count as new. */
    boolean advance(EventSplitter.Event event) {
        OptionalLong id = event.id();
        if (id.isPresent() && lastId.isPresent() && id.getAsLong() <= lastId.getAsLong()) {
            return false;
        }
        unnumbered = id.isEmpty() && lastId.isEmpty() && (unnumbered || event.hasData());
        if (id.isPresent()) {
            lastId.ifPresent(last -> recordStep(id.getAsLong() - last));
            lastId = id;
            lastContent = OptionalInt.of(Arrays.hashCode(event.bytes()));
        }
        return true;
    }

    private void recordStep(long step) {
        steps++;
        skipping |= step > 1;
    }

    /** Returns whether an event is certainly the last one that was relayed. */
    boolean isLast(EventSplitter.Event event) {
        return lastId.equals(event.id()) && lastContent.equals(OptionalInt.of(Arrays.hashCode(event.bytes())));
    }

    /** Returns whether the events up to now show that one with this id cannot be the next one. */
    boolean leavesOut(long id) {
        return steps >= MIN_STEPS && !skipping && id > lastId.getAsLong() + 1;
    }
}
