package org.hornbeamhead.core.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ResponseReaderTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @DataProvider
    public Object[][] validResponses() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "GET", 200, "abc", true, true},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "GET", 200, "abc", true, true
            },
            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", "GET", 503, "", true, true},
            {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", "GET", 200, "a", true, false},
            {"HTTP/1.1 200 OK\r\n\r\nabc", "GET", 200, "abc", false, false},
            {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HEAD", 200, "", true, true},
            {"HTTP/1.1 204 No Content\r\n\r\n", "GET", 204, "", true, true},
        };
    }

    @Test(dataProvider = "validResponses")
    public void readsResponseSplitAtAnyByte(
            String text, String method, int status, String body, boolean done, boolean keepAlive)
            throws BadMessageException {
        for (int split = 0; split <= text.length(); split++) {
            ResponseReader reader = new ResponseReader(method);
            ByteArrayOutputStream read = new ByteArrayOutputStream();
            read.writeBytes(reader.feed(Bytes.of(bytes(text.substring(0, split)))));
            read.writeBytes(reader.feed(Bytes.of(bytes(text.substring(split)))));
            assertEquals(reader.head().orElseThrow().status(), status);
            assertEquals(reader.head().orElseThrow().keepAlive(), keepAlive);
            assertEquals(read.toString(StandardCharsets.ISO_8859_1), body);
            assertEquals(reader.done(), done);
            assertEquals(reader.endsAtClose(), !done);
        }
    }

    @DataProvider
    public Object[][] malformedResponses() {
        return new Object[][] {
            {"\0\1\2garbage\r\n\r\n"},
            {"HTTP/1.1 2x0 OK\r\n\r\n"},
            {"HTTP/1.1 000 no\r\n\r\n"},
            {"HTTP/1.1 099 no\r\n\r\n"},
            {"HTTP/1.1 101 Switching Protocols\r\n\r\n"},
            {"HTTP/1.1 600 no\r\n\r\n"},
            {"HTTP/1.1 999 no\r\n\r\n"},
            {"HTTP/1.1 2001 no\r\n\r\n"},
            {"HTTP/1.1 200OK\r\n\r\n"},
            {"HTTP/1.x 200 OK\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
        };
    }

    /** A faulty replica sends bytes that are not a valid response. None may reach the caller as a success. */
    @Test(dataProvider = "malformedResponses")
    public void rejectsMalformedResponse(String text) {
        assertThrows(BadMessageException.class, () -> new ResponseReader("GET").feed(Bytes.of(bytes(text))));
    }

    @Test
    public void leavesBytesAfterResponse() throws BadMessageException {
        ResponseReader reader = new ResponseReader("GET");
        Bytes in = Bytes.of(bytes("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n"));
        assertEquals(reader.feed(in), bytes("a"));
        assertTrue(reader.done());
        assertEquals(in.remaining(), "HTTP/1.1 200 OK\r\n".length());
        assertFalse(reader.endsAtClose());
    }
}
