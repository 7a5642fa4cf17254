package org.hornbeamhead.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits a byte stream into complete server-sent events without changing their bytes.
 *
 * <p>A replica can break off in the middle of an event and another replica can continue with the next one. Without this
 * filter, the caller would read two halves of different events as one. Only events terminated by a blank line are
 * returned. A line ends with LF, CR LF or a lone CR.
 */
public final class EventSplitter {
    /** Hundreds of times the length of a sound event, and small against the heap even if many streams hold one. */
    private static final int MAX_EVENT_BYTES = 1 << 16;

    private static final int MAX_ID_DIGITS = 18;
    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private int lineLength;
    private byte previous;
    private boolean blankLine;
    private boolean hasContent;
    private boolean loneCarriageReturns;
    private boolean begun;

    /** A complete event. */
    public static final class Event {
        private final byte[] bytes;

        private Event(byte[] bytes) {
            this.bytes = bytes;
        }

        /**
         * Returns the unmodified event, including its terminating blank line. Where lone CRs end lines and an LF
         * follows the last one, the LF is left out.
         *
         * @return the bytes; not copied
         */
        public byte[] bytes() {
            return bytes;
        }

        /**
         * Returns the event's number from its last {@code id} field.
         *
         * @return the number, empty when it has none
         */
        public OptionalLong id() {
            return idOf(bytes);
        }

        /**
         * Returns whether the event has data. Callers are told only of such events.
         *
         * @return false for one that consists of comments and other fields
         */
        public boolean hasData() {
            return new String(bytes, StandardCharsets.ISO_8859_1)
                    .lines()
                    .anyMatch(l -> l.equals("data") || l.startsWith("data:"));
        }
    }

    /**
     * Consumes bytes.
     *
     * @param bytes the bytes
     * @return the events completed by these bytes
     * @throws CorruptStreamException if an event is longer than 64 KiB
     */
    public List<Event> feed(byte[] bytes) throws CorruptStreamException {
        List<Event> events = new ArrayList<>();
        for (byte b : bytes) {
            if (previous == '\r') {
                afterCarriageReturn(b, events);
            } else {
                accept(b, events);
            }
            previous = b;
        }
        return events;
    }

    /** Consumes a byte after CR. An LF there belongs to the line end, and is dropped if the event was returned. */
    private void afterCarriageReturn(byte b, List<Event> events) throws CorruptStreamException {
        loneCarriageReturns = b != '\n';
        if (loneCarriageReturns) {
            endEvent(events);
            accept(b, events);
        } else if (buffer.size() > 0) {
            append(b);
            endEvent(events);
        }
    }

    private void accept(byte b, List<Event> events) throws CorruptStreamException {
        append(b);
        if (b != '\r' && b != '\n') {
            lineLength++;
            blankLine = false;
            hasContent = true;
            return;
        }
        blankLine = lineLength == 0;
        lineLength = 0;
        // An LF may follow a CR. It is not awaited where lines end with CR alone: an event would be late by one.
        if (b == '\n' || loneCarriageReturns) {
            endEvent(events);
        }
    }

    private void append(byte b) throws CorruptStreamException {
        if (buffer.size() >= MAX_EVENT_BYTES) {
            throw new CorruptStreamException("an event of the stream is longer than " + MAX_EVENT_BYTES + " bytes");
        }
        buffer.write(b);
    }

    /** Ends the event if its last line is blank. Lone CRs without anything between them belong to the next event. */
    private void endEvent(List<Event> events) {
        if (blankLine && (hasContent || !loneCarriageReturns)) {
            events.add(new Event(begun ? buffer.toByteArray() : withoutMark(buffer.toByteArray())));
            begun = true;
            buffer.reset();
            blankLine = false;
            hasContent = false;
        }
    }

    /** Leaves out the mark that may begin a stream: where another replica goes on, it would be part of an event. */
    private static byte[] withoutMark(byte[] event) {
        int length = BYTE_ORDER_MARK.length;
        boolean marked = event.length >= length && Arrays.equals(event, 0, length, BYTE_ORDER_MARK, 0, length);
        return marked ? Arrays.copyOfRange(event, length, event.length) : event;
    }

    /**
     * Returns whether an incomplete event is buffered.
     *
     * @return true in the middle of an event
     */
    public boolean insideEvent() {
        return hasContent || (buffer.size() > 0 && !loneCarriageReturns);
    }

    /** Reads the last id field. One that contains NUL is ignored, and an id that is no number counts as none. */
    private static OptionalLong idOf(byte[] event) {
        return new String(event, StandardCharsets.ISO_8859_1)
                .lines()
                .filter(l -> l.equals("id") || l.startsWith("id:"))
                .filter(l -> l.indexOf('\0') < 0)
                .reduce((earlier, last) -> last)
                .map(l -> l.substring(Math.min(3, l.length())).trim())
                .filter(v ->
                        !v.isEmpty() && v.length() <= MAX_ID_DIGITS && v.chars().allMatch(Character::isDigit))
                .map(v -> OptionalLong.of(Long.parseLong(v)))
                .orElse(OptionalLong.empty());
    }
}
