package org.hornbeamhead.daemon;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** What a daemon does again and again. */
public class DaemonTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);

    /** Guards against a controller that stands still for good after one step that failed. */
    @Test
    public void anActionThatFailsOnceIsRepeatedAllTheSame() {
        Daemon daemon = new Daemon();
        AtomicInteger runs = new AtomicInteger();
        daemon.repeat(Duration.ofMillis(1), () -> {
            if (runs.incrementAndGet() == 1) {
                throw new IllegalStateException("the first run fails");
            }
            daemon.end();
        });
        daemon.reactor().delayBackground(LIMIT, daemon::end);
        daemon.run();
        assertEquals(runs.get(), 2);
        assertEquals(daemon.uncaughtErrors(), 1);
    }
}
