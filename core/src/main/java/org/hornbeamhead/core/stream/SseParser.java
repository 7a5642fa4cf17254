package org.hornbeamhead.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Incremental parser for server-sent events. An event without its terminating blank line is not returned. */
public final class SseParser {
    private static final int MAX_EVENT_BYTES = 1 << 20;

    /**
     * A parsed event.
     *
     * @param id the {@code id} field; empty when absent
     * @param data the {@code data} lines, joined by line feeds
     */
    public record Event(String id, String data) {}

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String id = "";
    private boolean hasData;
    private int eventBytes;

    /**
     * Parses bytes.
     *
     * @param bytes the bytes
     * @param from the index of the first byte
     * @param to the index after the last byte
     * @return the events completed by these bytes
     * @throws CorruptStreamException if an event is longer than a mebibyte
     */
    public List<Event> feed(byte[] bytes, int from, int to) throws CorruptStreamException {
        List<Event> events = new ArrayList<>();
        for (int i = from; i < to; i++) {
            countByte();
            if (bytes[i] == '\n') {
                endLine(events);
            } else if (bytes[i] != '\r') {
                line.write(bytes[i]);
            }
        }
        return events;
    }

    private void countByte() throws CorruptStreamException {
        if (++eventBytes > MAX_EVENT_BYTES) {
            throw new CorruptStreamException("an event of the stream is longer than " + MAX_EVENT_BYTES + " bytes");
        }
    }

    private void endLine(List<Event> events) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.isEmpty()) {
            endEvent(events);
        } else if (text.startsWith("data:")) {
            data.append(hasData ? "\n" : "").append(value(text, "data:"));
            hasData = true;
        } else if (text.startsWith("id:")) {
            id = value(text, "id:");
        }
    }

    private void endEvent(List<Event> events) {
        if (hasData) {
            events.add(new Event(id, data.toString()));
        }
        data.setLength(0);
        hasData = false;
        id = "";
        eventBytes = 0;
    }

    private static String value(String text, String field) {
        String value = text.substring(field.length());
        return value.startsWith(" ") ? value.substring(1) : value;
    }
}
