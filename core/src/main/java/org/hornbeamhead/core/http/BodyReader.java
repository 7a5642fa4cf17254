package org.hornbeamhead.core.http;

import java.io.ByteArrayOutputStream;

/**
 * Finds the end of a body by its length, by its chunks, or by the connection's end, and gives its bytes as they come.
 */
final class BodyReader {
    private static final int BAD_REQUEST = 400;
    /** A chunk's length line longer than this carries extensions that nobody here needs. */
    private static final int MAX_CHUNK_LINE = 256;

    private static final int MAX_CHUNK_DIGITS = 7;
    private static final int HEX = 16;

    private enum Part {
        LENGTH,
        CHUNK_LINE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER,
        UNTIL_CLOSE,
        DONE
    }

    private final StringBuilder line = new StringBuilder();
    private Part part;
    private long left;

    private BodyReader(Part part, long left) {
        this.part = left == 0 && part == Part.LENGTH ? Part.DONE : part;
        this.left = left;
    }

    static BodyReader ofLength(long length) {
        return new BodyReader(Part.LENGTH, length);
    }

    static BodyReader chunked() {
        return new BodyReader(Part.CHUNK_LINE, 0);
    }

    static BodyReader untilClose() {
        return new BodyReader(Part.UNTIL_CLOSE, 0);
    }

    boolean done() {
        return part == Part.DONE;
    }

    boolean endsWithConnection() {
        return part == Part.UNTIL_CLOSE;
    }

    void feed(Bytes in, ByteArrayOutputStream out) throws BadMessageException {
        while (in.remaining() > 0 && part != Part.DONE) {
            switch (part) {
                case LENGTH -> data(in, out, Part.DONE);
                case CHUNK_DATA -> data(in, out, Part.CHUNK_END);
                case UNTIL_CLOSE -> out.writeBytes(in.take(in.remaining()));
                default -> lineByte((char) (in.next() & 0xff));
            }
        }
    }

    private void data(Bytes in, ByteArrayOutputStream out, Part after) {
        int count = (int) Math.min(left, in.remaining());
        out.writeBytes(in.take(count));
        left -= count;
        if (left == 0) {
            part = after;
        }
    }

    private void lineByte(char c) throws BadMessageException {
        int length = line.length();
        if (c == '\n') {
            if (length == 0 || line.charAt(length - 1) != '\r') {
                throw new BadMessageException(BAD_REQUEST, "a line of the chunked body ends without a carriage return");
            }
            line.setLength(length - 1);
            String whole = line.toString();
            line.setLength(0);
            lineEnded(whole);
            return;
        }
        if (length > 0 && line.charAt(length - 1) == '\r') {
            throw new BadMessageException(BAD_REQUEST, "a carriage return stands inside a line of the chunked body");
        }
        if (length >= MAX_CHUNK_LINE) {
            throw new BadMessageException(BAD_REQUEST, "a line of the chunked body is too long");
        }
        line.append(c);
    }

    private void lineEnded(String text) throws BadMessageException {
        switch (part) {
            case CHUNK_LINE -> {
                left = chunkLength(text);
                part = left == 0 ? Part.TRAILER : Part.CHUNK_DATA;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new BadMessageException(BAD_REQUEST, "a chunk is longer than it says");
                }
                part = Part.CHUNK_LINE;
            }
            default -> part = text.isEmpty() ? Part.DONE : Part.TRAILER;
        }
    }

    private static long chunkLength(String text) throws BadMessageException {
        int semicolon = text.indexOf(';');
        String digits = semicolon < 0 ? text : text.substring(0, semicolon);
        boolean hex = !digits.isEmpty()
                && digits.length() <= MAX_CHUNK_DIGITS
                && digits.chars().allMatch(c -> Character.digit(c, HEX) >= 0 && c < 128);
        if (!hex) {
            throw new BadMessageException(BAD_REQUEST, "a chunk has no proper length");
        }
        return Long.parseLong(digits, HEX);
    }
}
