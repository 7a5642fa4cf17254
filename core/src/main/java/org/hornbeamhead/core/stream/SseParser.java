package org.hornbeamhead.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a byte stream into server-sent events, wherever the bytes are split. An event whose closing blank line has not
 * come is not an event.
 */
public final class SseParser {
    private static final int LINE_LIMIT = 1 << 20;

    /**
     * One event as it came.
     *
     * @param id the {@code id} field; empty when absent
     * @param data the {@code data} lines, joined by line feeds
     */
    public record Event(String id, String data) {}

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String id = "";
    private boolean hasData;

    /**
     * Takes in bytes.
     *
     * @param bytes the bytes
     * @param from the first
     * @param to one past the last
     * @return the events that the bytes completed
     * @throws CorruptStreamException when a line is longer than a megabyte
     */
    public List<Event> feed(byte[] bytes, int from, int to) throws CorruptStreamException {
        List<Event> events = new ArrayList<>();
        for (int i = from; i < to; i++) {
            if (bytes[i] == '\n') {
                endLine(events);
            } else if (bytes[i] != '\r') {
                line.write(bytes[i]);
            }
        }
        if (line.size() > LINE_LIMIT) {
            throw new CorruptStreamException("a line of the stream is longer than " + LINE_LIMIT + " bytes");
        }
        return events;
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
    }

    private static String value(String text, String field) {
        String value = text.substring(field.length());
        return value.startsWith(" ") ? value.substring(1) : value;
    }
}
