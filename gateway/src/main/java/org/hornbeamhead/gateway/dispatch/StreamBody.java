package org.hornbeamhead.gateway.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.stream.CorruptStreamException;
import org.hornbeamhead.core.stream.EventSplitter;

/**
 * The body of one replica's stream, of which whole and new events are passed on.
 *
 * <p>Comments prove nothing about the request, and are withheld until an event follows them: a stream that sends only
 * comments, or events that the caller has already, is no more alive than a silent one. Once events have numbers, those
 * without one are withheld until a number follows, since another replica that goes on sends them again.
 */
final class StreamBody {
    /** A stream whose replica sends more than this without a new event is broken; one event fits in twice. */
    private static final int MAX_UNPRODUCTIVE_BYTES = 1 << 17;

    private final EventSplitter splitter = new EventSplitter();
    private final StreamProgress progress;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private OptionalLong resumedAfter = OptionalLong.empty();
    private Optional<Continuation> continuation = Optional.empty();
    private boolean repeatedLast;
    private int unproductiveBytes;

    /** How the first numbered event of a replica follows the last one that the caller has. */
    enum Continuation {
        /** It has the next number. */
        NEXT,
        /** It has a number beyond the next one. */
        AHEAD,
        /** The caller has an event with its number. */
        REPEATED;

        private static Continuation of(long number, long last) {
            return number <= last ? REPEATED : number == last + 1 ? NEXT : AHEAD;
        }
    }

    StreamBody(StreamProgress progress) {
        this.progress = progress;
    }

    /** Records after which event the replica was asked to go on, when it is asked. */
    void requested() {
        resumedAfter = progress.lastEventId();
    }

    /** Returns how the replica went on with the stream; empty before its first numbered event, or if it began it. */
    Optional<Continuation> continuation() {
        return continuation;
    }

    /**
     * Consumes bytes of the body and records the new events among them.
     *
     * @param bytes the bytes
     * @return what may be passed on; empty unless a new event is among it
     * @throws CorruptStreamException if an event, or what comes without a new one, is too long
     */
    byte[] feed(byte[] bytes) throws CorruptStreamException {
        ByteArrayOutputStream fresh = new ByteArrayOutputStream();
        for (EventSplitter.Event event : splitter.feed(bytes)) {
            if (add(event)) {
                fresh.writeBytes(takePending());
            }
        }
        if (fresh.size() > 0) {
            unproductiveBytes = 0;
            return fresh.toByteArray();
        }
        unproductiveBytes += bytes.length;
        if (unproductiveBytes > MAX_UNPRODUCTIVE_BYTES) {
            throw new CorruptStreamException("no new event in " + unproductiveBytes + " bytes of the stream");
        }
        return new byte[0];
    }

    /** Returns whether the event is new; those without a number are new as long as the stream has no numbers. */
    private boolean add(EventSplitter.Event event) throws CorruptStreamException {
        if (resumedAfter.isPresent() && event.id().isPresent()) {
            checkContinuation(event, event.id().getAsLong(), resumedAfter.getAsLong());
        }
        if (!progress.advance(event)) {
            dropRepeated(event.id().getAsLong());
            return false;
        }
        pending.writeBytes(event.bytes());
        return event.id().isPresent()
                || (event.hasData() && progress.lastEventId().isEmpty());
    }

    /** Drops what comes before an event that the caller had before this replica was asked: it has that as well. */
    private void dropRepeated(long id) {
        if (resumedAfter.isPresent() && id <= resumedAfter.getAsLong()) {
            pending.reset();
        }
    }

    /**
     * Checks that a replica goes on with the stream that another one began. A replica that ignores where it has to go
     * on begins another run, unless it repeats the last event as the caller has it.
     */
    private void checkContinuation(EventSplitter.Event event, long id, long last) throws CorruptStreamException {
        boolean first = continuation.isEmpty();
        continuation = continuation.or(() -> Optional.of(Continuation.of(id, last)));
        if (first && progress.leavesOut(id)) {
            throw new CorruptStreamException("the replica goes on at event " + id + " after " + last);
        }
        repeatedLast |= progress.isLast(event);
        if (continuation.get() == Continuation.REPEATED && id >= last && !repeatedLast) {
            throw new CorruptStreamException("the replica began the stream anew instead of going on after " + last);
        }
    }

    /** Returns what follows the last event, once the stream is complete. */
    byte[] takePending() {
        byte[] bytes = pending.toByteArray();
        pending.reset();
        return bytes;
    }

    /** Returns whether the body has only events before the last one that the caller has, and may be of another run. */
    boolean endsBeforeLast() {
        return continuation.filter(c -> c == Continuation.REPEATED).isPresent()
                && !repeatedLast
                && progress.lastEventId().equals(resumedAfter);
    }

    /** Returns whether the body stands in the middle of an event. */
    boolean insideEvent() {
        return splitter.insideEvent();
    }
}
