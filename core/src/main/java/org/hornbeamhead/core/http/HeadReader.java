package org.hornbeamhead.core.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses start lines and header lines strictly, so that no other parser can see a different message in the same bytes.
 */
final class HeadReader {
    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 431;
    private static final byte[] EMPTY = new byte[0];

    private final int maxBytes;
    private byte[] pending = EMPTY;
    private int scanned;

    HeadReader(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Consumes bytes. Returns the lines of the head once it is complete, or null until then. */
    List<String> feed(Bytes in) throws BadMessageException {
        int before = pending.length;
        byte[] joined = new byte[before + in.remaining()];
        System.arraycopy(pending, 0, joined, 0, before);
        in.peek(joined, before);
        int start = skipEmptyLines(joined);
        int end = endOfHead(joined, Math.max(start, scanned));
        if (end < 0) {
            in.skip(in.remaining());
            pending = joined;
            scanned = Math.max(0, joined.length - 3);
            checkSize(joined.length - start);
            return null;
        }
        checkSize(end - start);
        in.skip(end - before);
        pending = EMPTY;
        scanned = 0;
        return lines(joined, start, end - 2);
    }

    boolean hasPartialHead() {
        return pending.length > 0;
    }

    private void checkSize(int bytes) throws BadMessageException {
        if (bytes > maxBytes) {
            throw new BadMessageException(TOO_LARGE, "the head has more than " + maxBytes + " bytes");
        }
    }

    private static int skipEmptyLines(byte[] b) {
        int at = 0;
        while (at + 1 < b.length && b[at] == '\r' && b[at + 1] == '\n') {
            at += 2;
        }
        return at;
    }

    private static int endOfHead(byte[] b, int from) {
        for (int i = Math.max(0, from); i + 3 < b.length; i++) {
            if (b[i] == '\r' && b[i + 1] == '\n' && b[i + 2] == '\r' && b[i + 3] == '\n') {
                return i + 4;
            }
        }
        return -1;
    }

    private static List<String> lines(byte[] b, int start, int end) throws BadMessageException {
        List<String> lines = new ArrayList<>();
        int from = start;
        for (int i = start; i < end; i++) {
            boolean crlf = b[i] == '\r' && i + 1 < b.length && b[i + 1] == '\n';
            if (crlf) {
                lines.add(new String(b, from, i - from, StandardCharsets.ISO_8859_1));
                from = i + 2;
                i++;
            } else if (b[i] == '\n' || b[i] == '\r' || b[i] == 0) {
                throw new BadMessageException(BAD_REQUEST, "a control character stands inside the head");
            }
        }
        return lines;
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
