package org.hornbeamhead.core.crash;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The binary encoding of crash reports, used in datagrams between routers and in the platform's store. The first byte
 * tells the kind of features, and no other datagram between routers starts with it. Routers that know contents only
 * ignore reports on prompt parts.
 */
public final class CrashReportCodec {
    private static final byte CONTENT_MARKER = (byte) 0xC5;
    private static final byte PROMPT_PART_MARKER = (byte) 0xC6;
    /** Maximum datagram size that fits on any network path, in bytes. */
    public static final int MAX_DATAGRAM_BYTES = 1_200;

    private static final int HEADER_BYTES = 3;
    private static final int REPORT_HEADER_BYTES = 9;
    private static final int CRASH_BYTES = 10;
    /** Upper bound of the reports in one datagram; each report has at least one crash. */
    static final int MAX_REPORTS_PER_DATAGRAM = MAX_DATAGRAM_BYTES / (REPORT_HEADER_BYTES + CRASH_BYTES);

    /** The sign bit of the age marks a crash of which the request was exonerated. */
    private static final int EXONERATED_BIT = Integer.MIN_VALUE;

    private static final int MAX_RUN_MILLIS = 0xffff;

    private CrashReportCodec() {}

    /**
     * Returns whether a datagram starts like encoded crash reports.
     *
     * @param datagram the bytes
     * @return true if the first byte is a format marker
     */
    public static boolean hasFormatMarker(byte[] datagram) {
        return datagram.length > 0 && kind(datagram[0]).isPresent();
    }

    private static Optional<CrashFeature.Kind> kind(byte marker) {
        return switch (marker) {
            case CONTENT_MARKER -> Optional.of(CrashFeature.Kind.CONTENT);
            case PROMPT_PART_MARKER -> Optional.of(CrashFeature.Kind.PROMPT_PART);
            default -> Optional.empty();
        };
    }

    private static byte marker(CrashFeature.Kind kind) {
        return kind == CrashFeature.Kind.CONTENT ? CONTENT_MARKER : PROMPT_PART_MARKER;
    }

    /**
     * Selects reports that fit into a number of bytes together. Reports that no longer fit are skipped.
     *
     * @param reports the reports, most important first
     * @param maxBytes the maximum encoded size
     * @return the selected reports
     */
    public static List<CrashReport> limitToSize(List<CrashReport> reports, int maxBytes) {
        List<CrashReport> selected = new ArrayList<>();
        int size = HEADER_BYTES;
        for (CrashReport r : reports) {
            int reportSize = REPORT_HEADER_BYTES + r.crashes().size() * CRASH_BYTES;
            if (size + reportSize <= maxBytes) {
                size += reportSize;
                selected.add(r);
            }
        }
        return selected;
    }

    /**
     * Encodes reports on features of one kind.
     *
     * @param reports the reports, at most 65,535 with at most 255 crashes each
     * @return the encoded reports
     */
    public static byte[] encode(List<CrashReport> reports) {
        CrashFeature.Kind kind =
                reports.stream().map(r -> r.feature().kind()).findFirst().orElse(CrashFeature.Kind.CONTENT);
        int crashes = reports.stream().mapToInt(r -> r.crashes().size()).sum();
        ByteBuffer out =
                ByteBuffer.allocate(HEADER_BYTES + reports.size() * REPORT_HEADER_BYTES + crashes * CRASH_BYTES);
        out.put(marker(kind)).putShort((short) reports.size());
        reports.forEach(r -> {
            out.putLong(r.feature().value()).put((byte) r.crashes().size());
            r.crashes()
                    .forEach(c -> out.putInt(c.replica()).putInt(encodeAge(c)).putShort(encodeRunMillis(c)));
        });
        return out.array();
    }

    private static int encodeAge(CrashReport.Crash crash) {
        int age = (int) Math.max(0, Math.min(Integer.MAX_VALUE, crash.ageMillis()));
        return crash.exonerated() ? age | EXONERATED_BIT : age;
    }

    private static short encodeRunMillis(CrashReport.Crash crash) {
        return (short) Math.min(MAX_RUN_MILLIS, crash.runMillis());
    }

    /**
     * Decodes reports.
     *
     * @param bytes the bytes
     * @return the reports, empty if the bytes are malformed
     */
    public static Optional<List<CrashReport>> decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (in.remaining() < HEADER_BYTES) {
            return Optional.empty();
        }
        return kind(in.get()).flatMap(kind -> decode(kind, in));
    }

    private static Optional<List<CrashReport>> decode(CrashFeature.Kind kind, ByteBuffer in) {
        try {
            int count = in.getShort() & 0xffff;
            List<CrashReport> reports = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                reports.add(decodeReport(kind, in));
            }
            return in.hasRemaining() ? Optional.empty() : Optional.of(reports);
        } catch (BufferUnderflowException e) {
            return Optional.empty();
        }
    }

    private static CrashReport decodeReport(CrashFeature.Kind kind, ByteBuffer in) {
        CrashFeature feature = new CrashFeature(kind, in.getLong());
        int count = in.get() & 0xff;
        List<CrashReport.Crash> crashes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int replica = in.getInt();
            int age = in.getInt();
            int runMillis = in.getShort() & MAX_RUN_MILLIS;
            crashes.add(new CrashReport.Crash(replica, age & ~EXONERATED_BIT, runMillis, (age & EXONERATED_BIT) != 0));
        }
        return new CrashReport(feature, crashes);
    }
}
