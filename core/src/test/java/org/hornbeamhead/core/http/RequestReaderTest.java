package org.hornbeamhead.core.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RequestReaderTest {
    private static final int MAX_HEAD = 300;
    private static final int MAX_BODY = 100;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static Optional<WholeRequest> read(String text) throws BadMessageException {
        return new RequestReader(MAX_HEAD, MAX_BODY).feed(Bytes.of(bytes(text)));
    }

    @DataProvider
    public Object[][] validRequests() {
        return new Object[][] {
            {"GET /a/b?c=%20d HTTP/1.1\r\nHost: h\r\n\r\n", "GET", "/a/b?c=%20d", ""},
            {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "POST", "/a", "abc"},
            {
                "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n",
                "POST",
                "/a",
                "abc"
            },
            {
                "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\nA\r\n0123456789\r\n0\r\nT: x\r\n\r\n",
                "POST",
                "/a",
                "0123456789"
            },
            {"\r\nDELETE /a HTTP/1.1\r\nHost: h\r\n\r\n", "DELETE", "/a", ""},
        };
    }

    @Test(dataProvider = "validRequests")
    public void readsRequestSplitAtAnyByte(String text, String method, String target, String body)
            throws BadMessageException {
        for (int split = 0; split < text.length(); split++) {
            RequestReader reader = new RequestReader(MAX_HEAD, MAX_BODY);
            assertTrue(reader.feed(Bytes.of(bytes(text.substring(0, split)))).isEmpty());
            WholeRequest request =
                    reader.feed(Bytes.of(bytes(text.substring(split)))).orElseThrow();
            assertEquals(request.head().method(), method);
            assertEquals(request.head().target(), target);
            assertEquals(new String(request.body(), StandardCharsets.ISO_8859_1), body);
            assertFalse(reader.insideRequest());
        }
    }

    @Test
    public void leavesBytesOfNextRequest() throws BadMessageException {
        Bytes in = Bytes.of(bytes("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nabGET /b"));
        assertTrue(new RequestReader(MAX_HEAD, MAX_BODY).feed(in).isPresent());
        assertEquals(new String(in.take(in.remaining()), StandardCharsets.ISO_8859_1), "GET /b");
    }

    @DataProvider
    public Object[][] rejectedRequests() {
        String post = "POST /a HTTP/1.1\r\nHost: h\r\n";
        return new Object[][] {
            {"two lengths", post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
            {"the same length twice", post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
            {"a length beside chunks", post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
            {"a signed length", post + "Content-Length: +3\r\n\r\nabc", 400},
            {"a length of two numbers", post + "Content-Length: 3, 3\r\n\r\nabc", 400},
            {"another coding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
            {"a coding twice", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 501},
            {"a disguised coding", post + "Transfer-Encoding: xchunked\r\n\r\n", 501},
            {"a blank before the colon", post + "Content-Length : 3\r\n\r\nabc", 400},
            {"a folded line", post + "X: a\r\n b\r\n\r\n", 400},
            {"a bare line feed", "GET /a HTTP/1.1\r\nHost: h\nX: y\r\n\r\n", 400},
            {"a bare carriage return", "GET /a HTTP/1.1\r\nHost: h\rX: y\r\n\r\n", 400},
            {"no host", "GET /a HTTP/1.1\r\n\r\n", 400},
            {"two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400},
            {"a blank in the path", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", 400},
            {"another protocol", "GET /a HTTP/2.0\r\nHost: h\r\n\r\n", 505},
            {"a chunk of negative length", post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", 400},
            {"a chunk with a prefix", post + "Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n", 400},
            {"a chunk longer than said", post + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", 400},
            {"a chunk line with a bare line feed", post + "Transfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n", 400},
            {"a body too long", post + "Content-Length: 101\r\n\r\n", 413},
            {"chunks too long", post + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + "a".repeat(101), 413},
            {"a head too long", post + "X: " + "a".repeat(MAX_HEAD) + "\r\n\r\n", 431},
            {"a head without end", "a".repeat(MAX_HEAD + 1), 431},
        };
    }

    /**
     * A caller sends bytes that two parsers can interpret as different requests. If the router forwarded them, a
     * replica could run a request that no caller sent. Each must be rejected before a replica is chosen.
     */
    @Test(dataProvider = "rejectedRequests")
    public void rejectsAmbiguousRequest(String description, String text, int status) {
        assertEquals(expectThrows(BadMessageException.class, () -> read(text)).status(), status, description);
    }

    @Test
    public void readsKeepAlive() throws BadMessageException {
        assertTrue(
                read("GET / HTTP/1.1\r\nHost: h\r\n\r\n").orElseThrow().head().keepAlive());
        assertFalse(read("GET / HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n")
                .orElseThrow()
                .head()
                .keepAlive());
        assertFalse(
                read("GET / HTTP/1.0\r\nHost: h\r\n\r\n").orElseThrow().head().keepAlive());
        assertThrows(BadMessageException.class, () -> read("GET / HTTP/1.1\r\nHost h\r\n\r\n"));
    }
}
