package org.hornbeamhead.core.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

public class HeadersTest {
    @Test
    public void endToEndRemovesHopByHopHeaders() {
        Headers headers = new Headers(List.of(
                new Header("X-A", "1"),
                new Header("Connection", "keep-alive, X-Hop"),
                new Header("x-hop", "gone"),
                new Header("Keep-Alive", "timeout=5"),
                new Header("TE", "trailers"),
                new Header("Transfer-Encoding", "chunked"),
                new Header("X-A", "2")));
        assertEquals(headers.endToEnd().lines(), List.of(new Header("X-A", "1"), new Header("X-A", "2")));
    }

    @Test
    public void numberAcceptsDigitsOnly() {
        Headers headers = new Headers(List.of(new Header("A", "12"), new Header("B", "+1"), new Header("C", "1e3")));
        assertEquals(headers.number("a").orElseThrow(), 12);
        assertTrue(headers.number("B").isEmpty());
        assertTrue(headers.number("C").isEmpty());
        assertTrue(headers.number("D").isEmpty());
    }
}
