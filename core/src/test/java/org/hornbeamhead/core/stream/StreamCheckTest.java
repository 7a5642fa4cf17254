package org.hornbeamhead.core.stream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StreamCheckTest {
    private static final int EVENTS = 12;
    private static final String STREAM = IntStream.range(0, EVENTS)
            .mapToObj(i -> "id: " + i + "\ndata: " + (i == EVENTS - 1 ? "[DONE]" : "t\u00e9xt " + i) + "\n\n")
            .reduce("", String::concat);

    private static StreamEvent event(SseParser.Event e) {
        return new StreamEvent(Long.parseLong(e.id()), "r", e.data(), e.data().equals("[DONE]"));
    }

    /** Returns the data that a relay forwards from the bytes, either through the check or without it. */
    private static List<String> relay(StreamCheck check, byte[] bytes, int from, int to, boolean unchecked)
            throws CorruptStreamException {
        List<String> passed = new ArrayList<>();
        SseParser parser = new SseParser();
        for (SseParser.Event e : parser.feed(bytes, from, to)) {
            if (unchecked) {
                passed.add(e.data());
            } else {
                check.accept(event(e)).forEach(p -> passed.add(p.data()));
            }
        }
        return passed;
    }

    // The connection is cut after any byte, and the stream is resumed from the last forwarded event. The caller must
    // see
    // every event once, in order, and the end mark last.
    @Test
    public void resumeAfterCutAtAnyByteLosesAndRepeatsNothing() throws CorruptStreamException {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        List<String> whole = relay(new StreamCheck("r"), bytes, 0, bytes.length, true);
        for (int cut = 0; cut < bytes.length; cut++) {
            StreamCheck check = new StreamCheck("r");
            List<String> got = new ArrayList<>(relay(check, bytes, 0, cut, false));
            assertFalse(check.isComplete());
            check.resume();
            int from = STREAM.indexOf("id: " + check.next() + "\n");
            byte[] rest = STREAM.substring(from).getBytes(StandardCharsets.UTF_8);
            got.addAll(relay(check, rest, 0, rest.length, false));
            assertEquals(got, whole, "cut after byte " + cut);
            assertTrue(check.isComplete());
        }
    }

    @DataProvider
    public Object[][] eventOrders() {
        return new Object[][] {
            {"doubled", List.of(0, 0, 1, 1, 2, 2, 3, 4, 4, 5, 6, 7, 8, 9, 10, 11)},
            {"swapped", List.of(1, 0, 3, 2, 5, 4, 7, 6, 9, 8, 10, 11)},
            {"end first", List.of(11, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10)},
            {"reversed", List.of(11, 10, 9, 8, 7, 6, 5, 4, 3, 2, 1, 0)},
            {"after the end", List.of(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 3, 11)},
        };
    }

    // The engine sends events twice or out of order. An unchecked relay forwards them so; the check restores the order.
    @Test(dataProvider = "eventOrders")
    public void reorderedEventsReachCallerInOrder(String name, List<Integer> order) throws CorruptStreamException {
        List<String> parts = List.of(STREAM.split("(?<=\n\n)"));
        byte[] bytes = order.stream().map(parts::get).reduce("", String::concat).getBytes(StandardCharsets.UTF_8);
        byte[] good = STREAM.getBytes(StandardCharsets.UTF_8);
        List<String> whole = relay(new StreamCheck("r"), good, 0, good.length, true);
        assertEquals(relay(new StreamCheck("r"), bytes, 0, bytes.length, false), whole, name);
        assertFalse(relay(new StreamCheck("r"), bytes, 0, bytes.length, true).equals(whole), name);
    }

    // An event of another request arrives on this stream's connection. It must not be forwarded.
    @Test
    public void eventOfAnotherRequestIsRejected() {
        StreamCheck check = new StreamCheck("r");
        assertThrows(CorruptStreamException.class, () -> check.accept(new StreamEvent(0, "other", "x", false)));
    }

    @Test
    public void eventWithoutNumberIsRejected() {
        StreamCheck check = new StreamCheck("r");
        assertThrows(CorruptStreamException.class, () -> check.accept(new StreamEvent(-1, "r", "x", false)));
    }

    @Test
    public void waitForMissingEventIsBounded() {
        StreamCheck check = new StreamCheck("r");
        assertThrows(CorruptStreamException.class, () -> {
            for (int i = 1; i < 1_000; i++) {
                check.accept(new StreamEvent(i, "r", "x", false));
            }
        });
    }

    @Test
    public void overlongLineIsRejected() {
        SseParser parser = new SseParser();
        byte[] bytes = new byte[1 << 16];
        assertThrows(CorruptStreamException.class, () -> {
            for (int i = 0; i < 100; i++) {
                parser.feed(bytes, 0, bytes.length);
            }
        });
    }
}
