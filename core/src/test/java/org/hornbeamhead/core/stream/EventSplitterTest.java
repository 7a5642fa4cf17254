package org.hornbeamhead.core.stream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EventSplitterTest {
    @DataProvider
    public Object[][] streams() {
        return new Object[][] {
            {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", List.of(1L, 2L)},
            {"id: 1\r\ndata: a\r\n\r\nid: 7\r\ndata: b\r\n\r\n", List.of(1L, 7L)},
            {"data: a\n\n", List.of(-1L)},
            {"x-versions: 3\nid: 4\ndata: a\n\n", List.of(4L)},
            {"id: 1\rdata: a\r\rid: 2\rdata: b\r\r", List.of(1L, 2L)},
            {"data: a\r\rdata: b\r\r", List.of(-1L, -1L)},
            {"id: 1\rdata: a\r\rid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n", List.of(1L, 2L, 3L)},
            {"id: 1\ndata: a\r\n\r\nid: 2\r\ndata: b\n\n", List.of(1L, 2L)},
            {": a comment\r\r\rdata: a\r\r", List.of(-1L, -1L)},
            {"\r\n\r\nid: 1\r\n\r\n", List.of(-1L, -1L, 1L)},
            {"id: 1\n: a comment\ndata: a\ndata: b\n\n", List.of(1L)},
        };
    }

    /** Returns an event's lines, and its number by the rules for server-sent events; -1 if it has none. */
    @DataProvider
    public Object[][] ids() {
        return new Object[][] {
            {"id:7", 7},
            {"id: 7", 7},
            {"id: 007", 7},
            {"id: 7\nid: 9", 9},
            {"id: 7\rid: 9", 9},
            {"id: 7\nid", -1},
            {"id: 7\nid:", -1},
            {"id: 7\nid: x", -1},
            {"id: 7\nid: 9\0", 7},
            {"id: 9\0", -1},
            {"id: \0009", -1},
            {"id", -1},
            {"id: -7", -1},
            {"id: 7a", -1},
            {"id: 999999999999999999", 999_999_999_999_999_999L},
            {"id: 1000000000000000000", -1},
            {"ID: 7", -1},
            {"identity: 7", -1},
            {" id: 7", -1},
            {": id: 7", -1},
            {"data: id: 7", -1},
        };
    }

    /** Guards against a stream that goes on after another event than its caller has, since an id was misread. */
    @Test(dataProvider = "ids")
    public void readsTheLastIdOfAnEvent(String lines, long id) throws CorruptStreamException {
        assertEquals(only(lines + "\ndata: a\n\n").id().orElse(-1), id);
    }

    private static EventSplitter.Event only(String text) throws CorruptStreamException {
        List<EventSplitter.Event> events = new EventSplitter().feed(text.getBytes(StandardCharsets.ISO_8859_1));
        assertEquals(events.size(), 1);
        return events.get(0);
    }

    /** Guards against an event that is lost to callers since a byte order mark came to stand within their stream. */
    @Test
    public void leavesOutAByteOrderMarkCutAtAnyByte() throws CorruptStreamException {
        byte[] bytes = "\u00ef\u00bb\u00bfid: 3\ndata: a\n\nid: 4\n\n".getBytes(StandardCharsets.ISO_8859_1);
        for (int split = 0; split <= bytes.length; split++) {
            EventSplitter splitter = new EventSplitter();
            List<EventSplitter.Event> events = new ArrayList<>(splitter.feed(Arrays.copyOf(bytes, split)));
            events.addAll(splitter.feed(Arrays.copyOfRange(bytes, split, bytes.length)));
            assertEquals(events.stream().map(e -> e.id().orElse(-1)).toList(), List.of(3L, 4L));
            assertEquals(new String(events.get(0).bytes(), StandardCharsets.ISO_8859_1), "id: 3\ndata: a\n\n");
        }
    }

    /** Guards against holding back a complete event until the next one begins. */
    @Test
    public void returnsAnEventWithItsLastByte() throws CorruptStreamException {
        assertEquals(only("id: 1\rdata: a\r\r").id().orElse(-1), 1);
        assertEquals(only("id: 1\r\ndata: a\r\n\r\n").id().orElse(-1), 1);
        assertEquals(only("id: 1\ndata: a\n\n").id().orElse(-1), 1);
    }

    /** Guards against a stream that stalls, or is cut within an event, since the end of a line is not seen. */
    @Test(dataProvider = "streams")
    public void returnsEventsUnchangedSplitAtAnyByte(String text, List<Long> ids) throws CorruptStreamException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int split = 0; split <= bytes.length; split++) {
            EventSplitter splitter = new EventSplitter();
            List<EventSplitter.Event> events = new ArrayList<>(splitter.feed(Arrays.copyOf(bytes, split)));
            events.addAll(splitter.feed(Arrays.copyOfRange(bytes, split, bytes.length)));
            StringBuilder joined = new StringBuilder();
            events.forEach(e -> joined.append(new String(e.bytes(), StandardCharsets.ISO_8859_1)));
            assertEquals(joined.toString(), text);
            assertEquals(events.stream().map(e -> e.id().orElse(-1)).toList(), ids);
            assertFalse(splitter.insideEvent());
        }
    }

    /** Guards against events that depend on how the network cut them. */
    @Test(dataProvider = "streams")
    public void returnsEventsUnchangedFromSingleBytes(String text, List<Long> ids) throws CorruptStreamException {
        EventSplitter splitter = new EventSplitter();
        List<EventSplitter.Event> events = new ArrayList<>();
        for (byte b : text.getBytes(StandardCharsets.ISO_8859_1)) {
            events.addAll(splitter.feed(new byte[] {b}));
        }
        assertEquals(events.stream().map(e -> e.id().orElse(-1)).toList(), ids);
    }

    /**
     * A replica crashes in the middle of an event. The partial event must be withheld, since another replica resends
     * it.
     */
    @Test
    public void withholdsIncompleteEvent() throws CorruptStreamException {
        EventSplitter splitter = new EventSplitter();
        assertEquals(
                splitter.feed("id: 1\ndata: a\n\nid: 2\nda".getBytes(StandardCharsets.ISO_8859_1))
                        .size(),
                1);
        assertTrue(splitter.insideEvent());
    }
}
