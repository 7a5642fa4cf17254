package org.hornbeamhead.core.crash;

import java.util.Base64;
import java.util.List;
import java.util.Optional;

/**
 * Crash reports as they stand in the platform's store: the wall time of the writing in milliseconds, a space, and the
 * reports in base 64. The ages in them count from that time.
 */
final class ArchivedCrashes {
    private ArchivedCrashes() {}

    /** Writes reports as of a wall time in milliseconds. */
    static String write(List<CrashReport> reports, long wallMillis) {
        return wallMillis + " " + Base64.getEncoder().encodeToString(CrashNews.encode(reports));
    }

    /** Reads reports at a wall time in milliseconds; empty when the text is none. A clock behind makes none younger. */
    static Optional<List<CrashReport>> read(String text, long wallMillis) {
        try {
            int space = text.indexOf(' ');
            long since = Math.max(0, wallMillis - Long.parseLong(text.substring(0, Math.max(0, space))));
            byte[] bytes = Base64.getDecoder().decode(text.substring(space + 1));
            return CrashNews.decode(bytes)
                    .map(reports -> reports.stream().map(r -> r.older(since)).toList());
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
