package org.hornbeamhead.gateway.dispatch;

import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;

/** The limits of one try: each has a timer of its own, so that setting one never ends another. */
final class AttemptTimers {
    private final NioReactor reactor;
    private ScheduledRunnable silence;
    private ScheduledRunnable doubt;
    private Runnable unwatch = () -> {};

    AttemptTimers(NioReactor reactor) {
        this.reactor = reactor;
    }

    /** Sets what happens when nothing comes for a time, instead of what was set before. */
    void silence(long millis, Runnable action) {
        cancel(silence);
        silence = millis == Patience.UNLIMITED ? null : reactor.delayBackground(millis, action);
    }

    /** Sets when the replica is doubted. */
    void doubt(long millis, Runnable action) {
        doubt = reactor.delayBackground(millis, action);
    }

    /** Takes over the watch on the weights, which is called when the request has begun or the try ends. */
    void begin(Runnable ended) {
        unwatch = ended;
    }

    /** The request has begun: its weights limit it no more. */
    void begun() {
        unwatch.run();
    }

    /** The try is over. */
    void stop() {
        unwatch.run();
        cancel(silence);
        cancel(doubt);
    }

    private static void cancel(ScheduledRunnable timer) {
        if (timer != null) {
            timer.cancel();
        }
    }
}
