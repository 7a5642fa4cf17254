package org.hornbeamhead.fuzz;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.IntStream;
import org.hornbeamhead.core.http.BadMessageException;
import org.hornbeamhead.core.http.Bytes;
import org.hornbeamhead.core.http.RequestReader;
import org.hornbeamhead.core.http.ResponseReader;
import org.hornbeamhead.core.http.WholeRequest;

/** Reads bytes as HTTP messages: what is found must not depend on how the network cut them. */
final class HttpReading {
    private static final int HEAD_BYTES = 512;
    private static final int BODY_BYTES = 1_024;
    private static final String BAD = "bad";

    private HttpReading() {}

    private interface Reader {
        /** Takes bytes; tells whether there is anything more to read. */
        boolean take(Bytes in, StringBuilder found) throws BadMessageException;
    }

    static void requests(byte[] bytes) {
        IntStream.of(1, 3).forEach(step -> assertEquals(requests(bytes, step), requests(bytes, bytes.length)));
    }

    private static String requests(byte[] bytes, int step) {
        RequestReader reader = new RequestReader(HEAD_BYTES, BODY_BYTES);
        return read(bytes, step, (in, found) -> {
            Optional<WholeRequest> request = reader.feed(in);
            while (request.isPresent()) {
                found.append(request.get().head().target())
                        .append(Arrays.toString(request.get().body()));
                request = in.remaining() > 0 ? reader.feed(in) : Optional.empty();
            }
            return true;
        });
    }

    static void response(byte[] bytes) {
        assertEquals(response(bytes, 1), response(bytes, bytes.length));
    }

    private static String response(byte[] bytes, int step) {
        ResponseReader reader = new ResponseReader("GET");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String how = read(bytes, step, (in, found) -> {
            body.writeBytes(reader.feed(in));
            return !reader.done();
        });
        return how.equals(BAD) ? BAD : how + reader.head() + reader.done() + Arrays.toString(body.toByteArray());
    }

    /** What was found before bytes that are no message is of no use to a caller of a response reader. */
    private static String read(byte[] bytes, int step, Reader reader) {
        StringBuilder found = new StringBuilder();
        try {
            boolean more = true;
            for (int at = 0; more && at < bytes.length; at += step) {
                more = reader.take(new Bytes(bytes, at, Math.min(bytes.length, at + step)), found);
            }
            return found.toString();
        } catch (BadMessageException e) {
            return found + BAD;
        }
    }
}
