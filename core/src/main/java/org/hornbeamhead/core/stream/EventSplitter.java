package org.hornbeamhead.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits a byte stream into complete server-sent events without changing their bytes.
 *
 * <p>A replica can break off in the middle of an event and another replica can continue with the next one. Without this
 * filter, the caller would read two halves of different events as one. Only events terminated by a blank line are
 * returned.
 */
public final class EventSplitter {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final int MAX_ID_DIGITS = 18;

    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private int lineStart;

    /** A complete event. */
    public static final class Event {
        private final byte[] bytes;

        private Event(byte[] bytes) {
            this.bytes = bytes;
        }

        /**
         * Returns the unmodified event, including its terminating blank line.
         *
         * @return the bytes; not copied
         */
        public byte[] bytes() {
            return bytes;
        }

        /**
         * Returns the event's number from its {@code id} field.
         *
         * @return the number, empty when it has none
         */
        public OptionalLong id() {
            return idOf(bytes);
        }
    }

    /**
     * Consumes bytes.
     *
     * @param bytes the bytes
     * @return the events completed by these bytes
     * @throws CorruptStreamException if the buffered bytes exceed a megabyte
     */
    public List<Event> feed(byte[] bytes) throws CorruptStreamException {
        List<Event> events = new ArrayList<>();
        for (byte b : bytes) {
            buffer.write(b);
            if (b == '\n') {
                endLine(events);
            }
        }
        if (buffer.size() > MAX_EVENT_BYTES) {
            throw new CorruptStreamException("an event of the stream is longer than " + MAX_EVENT_BYTES + " bytes");
        }
        return events;
    }

    private void endLine(List<Event> events) {
        int length = buffer.size() - lineStart;
        byte[] all = buffer.toByteArray();
        boolean blank = length == 1 || (length == 2 && all[lineStart] == '\r');
        lineStart = buffer.size();
        if (blank) {
            events.add(new Event(all));
            buffer.reset();
            lineStart = 0;
        }
    }

    /**
     * Returns whether an incomplete event is buffered.
     *
     * @return true in the middle of an event
     */
    public boolean insideEvent() {
        return buffer.size() > 0;
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
