package org.hornbeamhead.core.http;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;

/**
 * Incremental parser for the requests of one connection.
 *
 * <p>Guards against request smuggling: two lengths, a length together with chunked coding, or a line ending that only
 * some parsers accept let a caller hide a second request inside a body, and a replica would run a request that no
 * caller sent. Such messages are rejected, and forwarded requests carry a single length counted here.
 */
public final class RequestReader {
    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 413;
    private static final int NOT_IMPLEMENTED = 501;
    private static final int VERSION_NOT_SUPPORTED = 505;

    private final int maxBodyBytes;
    private final HeadReader headReader;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private RequestHead head;
    private BodyReader framing;

    /**
     * Creates a reader for one connection.
     *
     * @param maxHeadBytes the maximum size of a head in bytes
     * @param maxBodyBytes the maximum size of a body in bytes
     */
    public RequestReader(int maxHeadBytes, int maxBodyBytes) {
        this.headReader = new HeadReader(maxHeadBytes);
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Parses further bytes.
     *
     * @param in the bytes; those after the end of the request are not consumed
     * @return the request, empty until it is complete
     * @throws BadMessageException if the request is malformed or too large; the connection cannot be used afterwards
     */
    public Optional<WholeRequest> feed(Bytes in) throws BadMessageException {
        if (head == null) {
            List<String> lines = headReader.feed(in);
            if (lines == null) {
                return Optional.empty();
            }
            readHead(lines);
        }
        framing.feed(in, body);
        if (body.size() > maxBodyBytes) {
            throw new BadMessageException(TOO_LARGE, "the body has more than " + maxBodyBytes + " bytes");
        }
        return framing.done() ? Optional.of(finish()) : Optional.empty();
    }

    /**
     * Returns whether a part of a request has been read.
     *
     * @return true between the first byte of a head and the end of its body
     */
    public boolean insideRequest() {
        return head != null || headReader.hasPartialHead();
    }

    /**
     * Returns whether nothing has been read since the last request.
     *
     * @return false after any byte, also of an empty line
     */
    public boolean isUnused() {
        return head == null && headReader.isUnused();
    }

    /**
     * Returns how much of an incomplete request is kept.
     *
     * @return the bytes of its head, or of its body once the head is complete
     */
    public int pendingBytes() {
        return headReader.pendingBytes() + body.size();
    }

    /**
     * Returns whether the caller waits for an interim response before it sends the body.
     *
     * @return true after a head with {@code Expect: 100-continue}
     */
    public boolean expectsContinue() {
        return head != null && head.headers().containsToken("Expect", "100-continue");
    }

    private WholeRequest finish() {
        WholeRequest whole = new WholeRequest(head, body.toByteArray());
        head = null;
        framing = null;
        body.reset();
        return whole;
    }

    private void readHead(List<String> lines) throws BadMessageException {
        String[] start = lines.get(0).split(" ", -1);
        boolean valid = start.length == 3
                && !start[0].isEmpty()
                && start[0].chars().allMatch(c -> HeadReader.isTokenChar((char) c))
                && start[1].startsWith("/")
                && start[1].chars().allMatch(c -> c > ' ' && c < 127);
        if (!valid) {
            throw new BadMessageException(BAD_REQUEST, "the first line is no request");
        }
        if (!start[2].equals("HTTP/1.1") && !start[2].equals("HTTP/1.0")) {
            throw new BadMessageException(VERSION_NOT_SUPPORTED, "the protocol is neither HTTP/1.1 nor HTTP/1.0");
        }
        Headers headers = HeadReader.headers(lines.subList(1, lines.size()));
        if (headers.all("Host").size() != 1) {
            throw new BadMessageException(BAD_REQUEST, "there is not exactly one Host line");
        }
        framing = framing(headers);
        boolean keepAlive = start[2].equals("HTTP/1.1")
                ? !headers.containsToken("Connection", "close")
                : headers.containsToken("Connection", "keep-alive");
        head = new RequestHead(start[0], start[1], headers, keepAlive);
    }

    private BodyReader framing(Headers headers) throws BadMessageException {
        List<String> lengths = headers.all("Content-Length");
        List<String> codings = headers.all("Transfer-Encoding");
        if (!codings.isEmpty()) {
            if (!lengths.isEmpty()) {
                throw new BadMessageException(BAD_REQUEST, "the body has a length beside chunks");
            }
            if (codings.size() != 1 || !codings.get(0).equalsIgnoreCase("chunked")) {
                throw new BadMessageException(NOT_IMPLEMENTED, "the body's transfer coding is not understood");
            }
            return BodyReader.chunked();
        }
        if (lengths.isEmpty()) {
            return BodyReader.ofLength(0);
        }
        long length = headers.number("Content-Length").orElse(-1);
        if (lengths.size() != 1 || length < 0) {
            throw new BadMessageException(BAD_REQUEST, "the body has no single proper length");
        }
        if (length > maxBodyBytes) {
            throw new BadMessageException(TOO_LARGE, "the body has more than " + maxBodyBytes + " bytes");
        }
        return BodyReader.ofLength(length);
    }
}
