package org.hornbeamhead.core.http;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;

/** Reads one response out of the bytes of a connection. */
public final class ResponseReader {
    private static final int BAD_GATEWAY = 502;
    /** Replicas send heads of some hundred bytes; anything much longer is no head. */
    private static final int MAX_HEAD_BYTES = 32_768;

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int STATUS_DIGITS = 3;

    private final boolean bodiless;
    private final HeadReader heads = new HeadReader(MAX_HEAD_BYTES);
    private ResponseHead head;
    private BodyReader framing;

    /**
     * Makes a reader.
     *
     * @param method the request's method; a response to HEAD has no body
     */
    public ResponseReader(String method) {
        this.bodiless = method.equals("HEAD");
    }

    /**
     * Reads on.
     *
     * @param in the bytes; those after the response's end are left in it
     * @return the bytes of the body that came, none before the head is whole
     * @throws BadMessageException when the bytes are no response
     */
    public byte[] feed(Bytes in) throws BadMessageException {
        while (head == null) {
            List<String> lines = heads.feed(in);
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
        boolean proper = start.startsWith("HTTP/1.") && start.length() >= 12 && start.charAt(8) == ' ';
        String digits = proper ? start.substring(9, 9 + STATUS_DIGITS) : "";
        if (!proper || !digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new BadMessageException(BAD_GATEWAY, "the first line is no response");
        }
        int status = Integer.parseInt(digits);
        Headers headers = HeadReader.headers(lines.subList(1, lines.size()));
        if (status < FIRST_FINAL_STATUS) {
            return;
        }
        framing = framing(status, headers);
        boolean keep =
                start.startsWith("HTTP/1.1") && !headers.listed("Connection", "close") && !framing.endsWithConnection();
        head = new ResponseHead(status, headers, keep);
    }

    private BodyReader framing(int status, Headers headers) throws BadMessageException {
        if (bodiless || status == NO_CONTENT || status == NOT_MODIFIED) {
            return BodyReader.ofLength(0);
        }
        if (headers.listed("Transfer-Encoding", "chunked")) {
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
     * Returns the head.
     *
     * @return the head, empty until it is whole
     */
    public Optional<ResponseHead> head() {
        return Optional.ofNullable(head);
    }

    /**
     * Tells whether the response is whole.
     *
     * @return true after the last byte of its body
     */
    public boolean done() {
        return framing != null && framing.done();
    }

    /**
     * Tells whether the orderly end of the connection makes the response whole.
     *
     * @return true for a body without a length
     */
    public boolean endsWithConnection() {
        return framing != null && framing.endsWithConnection();
    }
}
