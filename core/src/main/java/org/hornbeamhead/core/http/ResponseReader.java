package org.hornbeamhead.core.http;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Incremental parser for one response of a connection. */
public final class ResponseReader {
    private static final int BAD_GATEWAY = 502;
    /** Replicas send heads of a few hundred bytes; anything much longer is not a valid head. */
    private static final int MAX_HEAD_BYTES = 32_768;
    /** Interim responses (1xx) are rare; a replica that sends many will not answer. */
    private static final int MAX_INTERIM_HEADS = 16;

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;
    private static final int FIRST_STATUS = 100;
    /** Replicas are never asked to switch protocols, and what follows would be no HTTP any more. */
    private static final int SWITCHING_PROTOCOLS = 101;

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d (\\d{3})( .*)?", Pattern.DOTALL);

    private final boolean bodiless;
    private final HeadReader headReader = new HeadReader(MAX_HEAD_BYTES);
    private ResponseHead head;
    private BodyReader framing;
    private int interimHeads;

    /**
     * Creates a reader for the response to one request.
     *
     * @param method the request's method; a response to HEAD has no body
     */
    public ResponseReader(String method) {
        this.bodiless = method.equals("HEAD");
    }

    /**
     * Parses further bytes.
     *
     * @param in the bytes; those after the end of the response are not consumed
     * @return the decoded body bytes, empty until the head is complete
     * @throws BadMessageException if the bytes are not a valid response
     */
    public byte[] feed(Bytes in) throws BadMessageException {
        while (head == null) {
            List<String> lines = headReader.feed(in);
            if (lines == null) {
                return new byte[0];
            }
            readHead(lines);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream(in.remaining());
        framing.feed(in, body);
        return body.toByteArray();
    }

    private void readHead(List<String> lines) throws BadMessageException {
        String start = lines.get(0);
        int status = status(start);
        Headers headers = HeadReader.headers(lines.subList(1, lines.size()));
        if (status < FIRST_FINAL_STATUS) {
            countInterimHead();
            return;
        }
        framing = framing(status, headers);
        boolean keepAlive =
                start.startsWith("HTTP/1.1") && !headers.containsToken("Connection", "close") && !framing.endsAtClose();
        head = new ResponseHead(status, headers, keepAlive);
    }

    private static int status(String line) throws BadMessageException {
        Matcher matcher = STATUS_LINE.matcher(line);
        if (!matcher.matches()) {
            throw new BadMessageException(BAD_GATEWAY, "the first line is no response");
        }
        int status = Integer.parseInt(matcher.group(1));
        if (status < FIRST_STATUS || status > LAST_STATUS || status == SWITCHING_PROTOCOLS) {
            throw new BadMessageException(BAD_GATEWAY, "the status " + status + " is none of an answer");
        }
        return status;
    }

    private void countInterimHead() throws BadMessageException {
        if (++interimHeads > MAX_INTERIM_HEADS) {
            throw new BadMessageException(BAD_GATEWAY, "more than " + MAX_INTERIM_HEADS + " interim responses");
        }
    }

    private BodyReader framing(int status, Headers headers) throws BadMessageException {
        if (bodiless || status == NO_CONTENT || status == NOT_MODIFIED) {
            return BodyReader.ofLength(0);
        }
        if (headers.containsToken("Transfer-Encoding", "chunked")) {
            return BodyReader.chunked();
        }
        List<String> lengths = headers.all("Content-Length");
        if (lengths.isEmpty()) {
            return BodyReader.untilClose();
        }
        long length = headers.number("Content-Length").orElse(-1);
        if (length < 0 || lengths.stream().distinct().count() != 1) {
            throw new BadMessageException(BAD_GATEWAY, "the response has no single proper length");
        }
        return BodyReader.ofLength(length);
    }

    /**
     * Returns the response head.
     *
     * @return the head, empty until it is complete
     */
    public Optional<ResponseHead> head() {
        return Optional.ofNullable(head);
    }

    /**
     * Returns whether the response is complete.
     *
     * @return true after the last byte of its body
     */
    public boolean done() {
        return framing != null && framing.done();
    }

    /**
     * Returns whether an orderly close of the connection ends the response.
     *
     * @return true for a body that is neither chunked nor has a length
     */
    public boolean endsAtClose() {
        return framing != null && framing.endsAtClose();
    }
}
