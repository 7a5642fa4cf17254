package org.hornbeamhead.core.crash;

/** Reads a text as what routers keep of crashes. */
public final class ArchiveReading {
    private static final long WALL_MILLIS = 1_000;

    private ArchiveReading() {}

    /** Fails when the reader throws. */
    public static void read(String text) {
        CrashReportText.decode(text, WALL_MILLIS);
    }
}
