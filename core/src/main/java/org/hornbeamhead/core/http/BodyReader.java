package org.hornbeamhead.core.http;

import java.io.ByteArrayOutputStream;

/** Decodes a message body delimited by its length, by chunks, or by the close of the connection. */
final class BodyReader {
    private static final int BAD_REQUEST = 400;
    /** Longer chunk lines carry extensions, none of which are needed here. */
    private static final int MAX_CHUNK_LINE = 256;

    private static final int MAX_CHUNK_DIGITS = 7;
    /** Trailer fields are ignored. */
    private static final int MAX_TRAILER_LINES = 64;

    private static final int HEX = 16;

    private enum State {
        LENGTH,
        CHUNK_LINE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER,
        UNTIL_CLOSE,
        DONE
    }

    private final StringBuilder line = new StringBuilder();
    private State state;
    private long remaining;
    private int trailerLines;

    private BodyReader(State state, long remaining) {
        this.state = remaining == 0 && state == State.LENGTH ? State.DONE : state;
        this.remaining = remaining;
    }

    static BodyReader ofLength(long length) {
        return new BodyReader(State.LENGTH, length);
    }

    static BodyReader chunked() {
        return new BodyReader(State.CHUNK_LINE, 0);
    }

    static BodyReader untilClose() {
        return new BodyReader(State.UNTIL_CLOSE, 0);
    }

    boolean done() {
        return state == State.DONE;
    }

    boolean endsAtClose() {
        return state == State.UNTIL_CLOSE;
    }

    void feed(Bytes in, ByteArrayOutputStream out) throws BadMessageException {
        while (in.remaining() > 0 && state != State.DONE) {
            switch (state) {
                case LENGTH -> readData(in, out, State.DONE);
                case CHUNK_DATA -> readData(in, out, State.CHUNK_END);
                case UNTIL_CLOSE -> in.moveTo(out, in.remaining());
                default -> readLineByte((char) (in.next() & 0xff));
            }
        }
    }

    private void readData(Bytes in, ByteArrayOutputStream out, State next) {
        int count = (int) Math.min(remaining, in.remaining());
        in.moveTo(out, count);
        remaining -= count;
        if (remaining == 0) {
            state = next;
        }
    }

    private void readLineByte(char c) throws BadMessageException {
        int length = line.length();
        if (c == '\n') {
            if (length == 0 || line.charAt(length - 1) != '\r') {
                throw new BadMessageException(BAD_REQUEST, "a line of the chunked body ends without a carriage return");
            }
            line.setLength(length - 1);
            String text = line.toString();
            line.setLength(0);
            handleLine(text);
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

    private void handleLine(String text) throws BadMessageException {
        switch (state) {
            case CHUNK_LINE -> {
                remaining = chunkLength(text);
                state = remaining == 0 ? State.TRAILER : State.CHUNK_DATA;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new BadMessageException(BAD_REQUEST, "a chunk is longer than it says");
                }
                state = State.CHUNK_LINE;
            }
            default -> handleTrailerLine(text);
        }
    }

    private void handleTrailerLine(String text) throws BadMessageException {
        if (text.isEmpty()) {
            state = State.DONE;
        } else if (++trailerLines > MAX_TRAILER_LINES) {
            throw new BadMessageException(BAD_REQUEST, "the trailer has more than " + MAX_TRAILER_LINES + " lines");
        }
    }

    private static long chunkLength(String text) throws BadMessageException {
        int semicolon = text.indexOf(';');
        int end = semicolon < 0 ? text.length() : semicolon;
        long length = 0;
        for (int i = 0; i < end; i++) {
            int digit = text.charAt(i) < 128 ? Character.digit(text.charAt(i), HEX) : -1;
            length = digit < 0 ? -1 : length * HEX + digit;
            if (length < 0 || i >= MAX_CHUNK_DIGITS) {
                throw new BadMessageException(BAD_REQUEST, "a chunk has no proper length");
            }
        }
        if (end == 0) {
            throw new BadMessageException(BAD_REQUEST, "a chunk has no proper length");
        }
        return length;
    }
}
