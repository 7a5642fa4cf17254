package org.hornbeamhead.fuzz;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.hornbeamhead.core.stream.CorruptStreamException;
import org.hornbeamhead.core.stream.EventSplitter;
import org.hornbeamhead.core.stream.SseParser;

/** Reads bytes as streams of events: what is found must not depend on how the network cut them. */
final class StreamReading {
    private StreamReading() {}

    static void events(byte[] bytes) {
        assertEquals(cut(bytes, 1), cut(bytes, Math.max(1, bytes.length)));
        assertEquals(parsed(bytes, 1), parsed(bytes, Math.max(1, bytes.length)));
    }

    private static List<String> cut(byte[] bytes, int step) {
        EventSplitter cutter = new EventSplitter();
        List<String> found = new ArrayList<>();
        try {
            for (int at = 0; at < bytes.length; at += step) {
                cutter.feed(Arrays.copyOfRange(bytes, at, Math.min(bytes.length, at + step)))
                        .forEach(e -> found.add(e.id() + Arrays.toString(e.bytes())));
            }
        } catch (CorruptStreamException e) {
            found.add(e.getMessage());
        }
        found.add("inside=" + cutter.insideEvent());
        return found;
    }

    private static List<SseParser.Event> parsed(byte[] bytes, int step) {
        SseParser parser = new SseParser();
        List<SseParser.Event> found = new ArrayList<>();
        try {
            for (int at = 0; at < bytes.length; at += step) {
                found.addAll(parser.feed(bytes, at, Math.min(bytes.length, at + step)));
            }
        } catch (CorruptStreamException e) {
            found.add(new SseParser.Event("", e.getMessage()));
        }
        return found;
    }
}
