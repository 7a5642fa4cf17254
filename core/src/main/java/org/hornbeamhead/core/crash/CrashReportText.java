package org.hornbeamhead.core.crash;

import java.util.Base64;
import java.util.List;
import java.util.Optional;

/**
 * The text form of crash reports in the platform's store: the wall time of the write in milliseconds, a space, and the
 * encoded reports in Base64. Crash ages are relative to the time of the write.
 */
final class CrashReportText {
    private CrashReportText() {}

    /** Encodes reports whose ages are relative to the given wall time. */
    static String encode(List<CrashReport> reports, long wallMillis) {
        return wallMillis + " " + Base64.getEncoder().encodeToString(CrashReportCodec.encode(reports));
    }

    /**
     * Decodes reports and adds the time since the write to the crash ages; returns empty for malformed text. If the
     * local clock is behind the writer's, the ages stay as written.
     */
    static Optional<List<CrashReport>> decode(String text, long wallMillis) {
        try {
            int space = text.indexOf(' ');
            long elapsedMillis = Math.max(0, wallMillis - Long.parseLong(text.substring(0, Math.max(0, space))));
            byte[] bytes = Base64.getDecoder().decode(text.substring(space + 1));
            return CrashReportCodec.decode(bytes)
                    .map(reports ->
                            reports.stream().map(r -> r.aged(elapsedMillis)).toList());
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
