package org.hornbeamhead.core.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Parses start lines and header lines strictly, so that no other parser can see a different message in the same bytes.
 */
final class HeadReader {
    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 431;
    /** A peer may send an empty line after a message; anything more is no message. */
    private static final int MAX_EMPTY_LINES = 8;

    /** Each line costs many times its bytes once it is parsed. */
    private static final int MAX_LINES = 512;

    private static final int MIN_CAPACITY = 256;

    private final int maxBytes;
    private byte[] pending = new byte[0];
    private int length;
    private int emptyLines;

    HeadReader(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Consumes bytes. Returns the lines of the head once it is complete, or null until then. */
    List<String> feed(Bytes in) throws BadMessageException {
        while (in.remaining() > 0) {
            append(in.next());
            if (endsLine() && length == 2) {
                skipEmptyLine();
            } else if (endsLine() && isLineEnd(length - 4)) {
                return finish();
            }
        }
        return null;
    }

    /** Returns whether anything of a head has been read. A carriage return may still be an empty line. */
    boolean hasPartialHead() {
        return length > 1 || (length == 1 && pending[0] != '\r');
    }

    /** Returns whether nothing has been read since the last head, not even an empty line. */
    boolean isUnused() {
        return length == 0 && emptyLines == 0;
    }

    /** Returns how many bytes are kept. */
    int pendingBytes() {
        return length;
    }

    private void append(byte b) throws BadMessageException {
        if (length >= maxBytes) {
            throw new BadMessageException(TOO_LARGE, "the head has more than " + maxBytes + " bytes");
        }
        if (length == pending.length) {
            pending = Arrays.copyOf(pending, Math.max(MIN_CAPACITY, 2 * length));
        }
        pending[length++] = b;
    }

    private boolean endsLine() {
        return isLineEnd(length - 2);
    }

    private boolean isLineEnd(int at) {
        return at >= 0 && pending[at] == '\r' && pending[at + 1] == '\n';
    }

    private void skipEmptyLine() throws BadMessageException {
        length = 0;
        if (++emptyLines > MAX_EMPTY_LINES) {
            throw new BadMessageException(
                    BAD_REQUEST, "more than " + MAX_EMPTY_LINES + " empty lines precede the head");
        }
    }

    private List<String> finish() throws BadMessageException {
        List<String> lines = lines(pending, 0, length - 2);
        pending = new byte[0];
        length = 0;
        emptyLines = 0;
        return lines;
    }

    private static List<String> lines(byte[] b, int start, int end) throws BadMessageException {
        List<String> lines = new ArrayList<>();
        int from = start;
        for (int i = start; i < end; i++) {
            boolean crlf = b[i] == '\r' && i + 1 < b.length && b[i + 1] == '\n';
            if (crlf) {
                lines.add(new String(b, from, i - from, StandardCharsets.ISO_8859_1));
                checkLineCount(lines.size());
                from = i + 2;
                i++;
            } else if (b[i] == '\n' || b[i] == '\r' || b[i] == 0) {
                throw new BadMessageException(BAD_REQUEST, "a control character stands inside the head");
            }
        }
        return lines;
    }

    private static void checkLineCount(int count) throws BadMessageException {
        if (count > MAX_LINES) {
            throw new BadMessageException(TOO_LARGE, "the head has more than " + MAX_LINES + " lines");
        }
    }

    static Headers headers(List<String> lines) throws BadMessageException {
        List<Header> parsed = new ArrayList<>(lines.size());
        for (String line : lines) {
            int colon = line.indexOf(':');
            if (colon <= 0 || !isToken(line, colon)) {
                throw new BadMessageException(BAD_REQUEST, "a header line has no proper name");
            }
            parsed.add(new Header(
                    line.substring(0, colon), line.substring(colon + 1).trim()));
        }
        return new Headers(parsed);
    }

    private static boolean isToken(String s, int end) {
        for (int i = 0; i < end; i++) {
            if (!isTokenChar(s.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    static boolean isTokenChar(char c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
    }
}
