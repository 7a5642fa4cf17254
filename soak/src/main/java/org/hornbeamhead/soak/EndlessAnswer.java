package org.hornbeamhead.soak;

import java.io.IOException;
import java.util.Random;
import org.hornbeamhead.platform.StandinReplica;

/**
 * What a replica in trouble sends instead of an answer, until the router closes the connection.
 *
 * @param form what it sends
 * @param fast whether it sends as fast as the link carries, or a little every 50 ms
 */
record EndlessAnswer(Form form, boolean fast) {
    private static final int FAST_WRITE_BYTES = 16_384;
    private static final long SLOW_WRITE_MILLIS = 50;

    /** What comes without end. */
    enum Form {
        EMPTY_LINES("", "\r\n"),
        INTERIM_RESPONSES("", "HTTP/1.1 103 x\r\n\r\n"),
        HEADER_LINES("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        BODY("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\n\r\n", "body"),
        SERVER_ERROR("HTTP/1.1 500 no\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\n\r\n", "body"),
        COMMENTS(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
                "3\r\n:\n\n\r\n"),
        EVENT(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
                "2\r\na\n\r\n");

        private final String beginning;
        private final String unit;

        Form(String beginning, String unit) {
            this.beginning = beginning;
            this.unit = unit;
        }
    }

    static EndlessAnswer draw(Random random) {
        return new EndlessAnswer(Form.values()[random.nextInt(Form.values().length)], random.nextBoolean());
    }

    /** Returns what comes before the bytes without end. */
    String beginning(StandinReplica.ReceivedRequest r) {
        return form.beginning.replace("ID", r.id());
    }

    /** Returns whether a whole head comes before the bytes without end. */
    boolean hasWholeHead() {
        return form.beginning.endsWith("\r\n\r\n");
    }

    /** Writes the next bytes and returns how many they are. */
    int writeNext(StandinReplica.Connection to) throws IOException, InterruptedException {
        String bytes = fast ? form.unit.repeat(FAST_WRITE_BYTES / form.unit.length()) : form.unit;
        to.write(bytes);
        Thread.sleep(fast ? 0 : SLOW_WRITE_MILLIS);
        return bytes.length();
    }
}
