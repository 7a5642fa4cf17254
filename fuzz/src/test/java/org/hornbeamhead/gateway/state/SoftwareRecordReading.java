package org.hornbeamhead.gateway.state;

import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.resume.SoftwareHistory;
import org.hornbeamhead.core.time.ManualClock;

/** Reads one text as the software versions that routers keep in the store. */
public final class SoftwareRecordReading {
    private static final long WINDOW_MILLIS = 1_000;

    private SoftwareRecordReading() {}

    /** Fails when the reader throws, or what it took over cannot be used. */
    public static void read(String text) {
        ManualClock clock = new ManualClock(0);
        SoftwareHistory history = new SoftwareHistory(0);
        new SoftwareVersionRecorder(clock, (delay, action) -> {}, null, new StoreMirror(), history, () -> false)
                .apply(new StoreItem(SoftwareVersionRecorder.KEY, 1, text, false));
        history.soleVersion("lm", WINDOW_MILLIS, 0);
        history.snapshot(WINDOW_MILLIS, 0);
    }
}
