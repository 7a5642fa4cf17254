package org.hornbeamhead.daemon;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.google.common.flogger.backend.BaseMessageFormatter;
import com.google.common.flogger.backend.Metadata;
import com.google.common.flogger.backend.system.AbstractLogRecord;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Arrays;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log records as JSON lines from a thread of its own.
 *
 * <p>Failure: whoever reads the output stops reading. Symptom: the reactor hangs in a write, and every request with it.
 * Records wait in a bounded queue; when it is full they are dropped and counted, and the count is written with the next
 * line that finds room.
 */
final class JsonLines extends Handler {
    /** About a second of lines at 1,000 requests a second; at most 1 MB at the usual 250 bytes a line. */
    private static final int QUEUE_LINES = 4_096;
    /** Lines are written together, so that a burst costs few system calls. */
    private static final int BATCH_BYTES = 32_768;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;

    JsonLines(PrintStream out) {
        this.out = out;
        Thread writer = new Thread(this::writeAll, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord line) {
        if (!queue.offer(render(line))) {
            dropped.incrementAndGet();
        }
    }

    private void writeAll() {
        StringBuilder batch = new StringBuilder();
        while (true) {
            try {
                batch.append(queue.take());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            String next = queue.poll();
            while (next != null && batch.length() < BATCH_BYTES) {
                batch.append(next);
                next = queue.poll();
            }
            if (next != null) {
                batch.append(next);
            }
            long lost = dropped.getAndSet(0);
            if (lost > 0) {
                batch.append("{\"level\":\"WARNING\",\"message\":\"log lines were dropped\",\"count\":")
                        .append(lost)
                        .append("}\n");
            }
            write(batch);
        }
    }

    private void write(StringBuilder batch) {
        byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
        batch.setLength(0);
        out.write(bytes, 0, bytes.length);
        out.flush();
    }

    private static String render(LogRecord line) {
        StringBuilder json = new StringBuilder(256);
        json.append("{\"time\":\"")
                .append(Instant.ofEpochMilli(line.getMillis()))
                .append('"');
        field(json, "level", line.getLevel().getName());
        field(json, "message", message(line));
        if (line instanceof AbstractLogRecord flogged) {
            fields(json, flogged.getLogData().getMetadata());
        }
        if (line.getThrown() != null) {
            field(json, "exception", stackOf(line.getThrown()));
        }
        return json.append("}\n").toString();
    }

    private static String message(LogRecord line) {
        return line instanceof AbstractLogRecord flogged
                ? BaseMessageFormatter.appendFormattedMessage(flogged.getLogData(), new StringBuilder())
                        .toString()
                : String.valueOf(line.getMessage());
    }

    private static void fields(StringBuilder json, Metadata metadata) {
        for (int i = 0; i < metadata.size(); i++) {
            String label = metadata.getKey(i).getLabel();
            if (!label.equals("cause")) {
                field(json, label, String.valueOf(metadata.getValue(i)));
            }
        }
    }

    private static void field(StringBuilder json, String name, String value) {
        json.append(",\"").append(name).append("\":\"");
        JsonStringEncoder.getInstance().quoteAsString(value, json);
        json.append('"');
    }

    private static String stackOf(Throwable thrown) {
        StringBuilder text = new StringBuilder(thrown.toString());
        Arrays.stream(thrown.getStackTrace()).forEach(f -> text.append("\n at ").append(f));
        return text.toString();
    }

    @Override
    public void flush() {
        out.flush();
    }

    @Override
    public void close() {
        out.flush();
    }
}
