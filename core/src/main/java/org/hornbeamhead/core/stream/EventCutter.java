package org.hornbeamhead.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Cuts a byte stream into whole server-sent events without changing a byte of them.
 *
 * <p>Failure: a replica breaks off in the middle of an event and another goes on with the next one. Symptom: the caller
 * reads two halves of different events as one. Only events whose closing blank line has come are given out.
 */
public final class EventCutter {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final int MAX_ID_DIGITS = 18;

    private final ByteArrayOutputStream block = new ByteArrayOutputStream();
    private int lineStart;

    /** A whole event. */
    public static final class Event {
        private final byte[] bytes;

        private Event(byte[] bytes) {
            this.bytes = bytes;
        }

        /**
         * Returns the event as it came, its blank line included.
         *
         * @return the bytes; not copied
         */
        public byte[] bytes() {
            return bytes;
        }

        /**
         * Reads the event's number.
         *
         * @return the number, empty when it has none
         */
        public OptionalLong id() {
            return idOf(bytes);
        }
    }

    /**
     * Takes in bytes.
     *
     * @param bytes the bytes
     * @return the events that the bytes completed
     * @throws CorruptStreamException when an event is longer than a megabyte
     */
    public List<Event> feed(byte[] bytes) throws CorruptStreamException {
        List<Event> events = new ArrayList<>();
        for (byte b : bytes) {
            block.write(b);
            if (b == '\n') {
                endLine(events);
            }
        }
        if (block.size() > MAX_EVENT_BYTES) {
            throw new CorruptStreamException("an event of the stream is longer than " + MAX_EVENT_BYTES + " bytes");
        }
        return events;
    }

    private void endLine(List<Event> events) {
        int length = block.size() - lineStart;
        byte[] all = block.toByteArray();
        boolean blank = length == 1 || (length == 2 && all[lineStart] == '\r');
        lineStart = block.size();
        if (blank) {
            events.add(new Event(all));
            block.reset();
            lineStart = 0;
        }
    }

    /**
     * Tells whether a part of an event waits for its end.
     *
     * @return true in the middle of an event
     */
    public boolean insideEvent() {
        return block.size() > 0;
    }

    private static OptionalLong idOf(byte[] event) {
        return new String(event, StandardCharsets.ISO_8859_1)
                .lines()
                .filter(l -> l.startsWith("id:"))
                .map(l -> l.substring(3).trim())
                .filter(v ->
                        !v.isEmpty() && v.length() <= MAX_ID_DIGITS && v.chars().allMatch(Character::isDigit))
                .mapToLong(Long::parseLong)
                .findFirst();
    }
}
