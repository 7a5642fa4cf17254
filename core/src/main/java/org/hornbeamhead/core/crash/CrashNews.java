package org.hornbeamhead.core.crash;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Crash reports as bytes: what routers send one another in datagrams, and keep in the platform's store. */
public final class CrashNews {
    /** The first byte; no other datagram between routers begins with it. */
    private static final byte FORMAT = (byte) 0xC5;
    /** What fits into one datagram on any path, in bytes. */
    public static final int DATAGRAM_BYTES = 1_200;

    private static final int HEAD_BYTES = 3;
    private static final int REPORT_BYTES = 9;
    private static final int CRASH_BYTES = 10;
    /** More reports never fit into one datagram, since each has an end at least. */
    static final int MOST_REPORTS = DATAGRAM_BYTES / (REPORT_BYTES + CRASH_BYTES);

    /** The sign bit of the age says that the request was cleared. */
    private static final int CLEARED = Integer.MIN_VALUE;

    private static final int MOST_RAN_MILLIS = 0xffff;

    private CrashNews() {}

    /**
     * Tells news from other datagrams.
     *
     * @param datagram the bytes
     * @return whether they begin as news do
     */
    public static boolean isNews(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == FORMAT;
    }

    /**
     * Takes reports as long as they fit.
     *
     * @param reports the reports, the most important first
     * @param bytes the most bytes that they may take
     * @return those of them that fit together
     */
    public static List<CrashReport> fitting(List<CrashReport> reports, int bytes) {
        List<CrashReport> taken = new ArrayList<>();
        int size = HEAD_BYTES;
        for (CrashReport r : reports) {
            int more = REPORT_BYTES + r.crashes().size() * CRASH_BYTES;
            if (size + more <= bytes) {
                size += more;
                taken.add(r);
            }
        }
        return taken;
    }

    /**
     * Writes reports.
     *
     * @param reports the reports, at most 65,535 with at most 255 ends each
     * @return the bytes
     */
    public static byte[] encode(List<CrashReport> reports) {
        int crashes = reports.stream().mapToInt(r -> r.crashes().size()).sum();
        ByteBuffer out = ByteBuffer.allocate(HEAD_BYTES + reports.size() * REPORT_BYTES + crashes * CRASH_BYTES);
        out.put(FORMAT).putShort((short) reports.size());
        reports.forEach(r -> {
            out.putLong(r.request().value()).put((byte) r.crashes().size());
            r.crashes().forEach(c -> out.putInt(c.replica()).putInt(age(c)).putShort(ran(c)));
        });
        return out.array();
    }

    private static int age(CrashReport.Crash crash) {
        int age = (int) Math.max(0, Math.min(Integer.MAX_VALUE, crash.ageMillis()));
        return crash.cleared() ? age | CLEARED : age;
    }

    private static short ran(CrashReport.Crash crash) {
        return (short) Math.min(MOST_RAN_MILLIS, crash.ranMillis());
    }

    /**
     * Reads reports.
     *
     * @param bytes the bytes
     * @return the reports, empty when the bytes are none
     */
    public static Optional<List<CrashReport>> decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (in.remaining() < HEAD_BYTES || in.get() != FORMAT) {
            return Optional.empty();
        }
        try {
            int count = in.getShort() & 0xffff;
            List<CrashReport> reports = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                reports.add(report(in));
            }
            return in.hasRemaining() ? Optional.empty() : Optional.of(reports);
        } catch (BufferUnderflowException e) {
            return Optional.empty();
        }
    }

    private static CrashReport report(ByteBuffer in) {
        RequestFingerprint request = new RequestFingerprint(in.getLong());
        int count = in.get() & 0xff;
        List<CrashReport.Crash> crashes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int replica = in.getInt();
            int age = in.getInt();
            int ran = in.getShort() & MOST_RAN_MILLIS;
            crashes.add(new CrashReport.Crash(replica, age & ~CLEARED, ran, (age & CLEARED) != 0));
        }
        return new CrashReport(request, crashes);
    }
}
