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
        };
    }

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
