package org.hornbeamhead.gateway.dispatch;

import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;

/** The timers of one attempt. Each timeout has its own timer, so setting one never cancels another. */
final class AttemptTimers {
    private final NioReactor reactor;
    private ScheduledRunnable silenceTimer;
    private ScheduledRunnable probeTimer;
    private ScheduledRunnable pathTimer;
    private Runnable stopWatch = () -> {};

    AttemptTimers(NioReactor reactor) {
        this.reactor = reactor;
    }

    /** Starts the silence timer, replacing a previous one. */
    void restartSilenceTimer(long millis, Runnable action) {
        cancel(silenceTimer);
        silenceTimer = millis == SilenceTimeouts.UNLIMITED ? null : reactor.delayBackground(millis, action);
    }

    /** Starts the timer after which the replica is probed. */
    void startProbeTimer(long millis, Runnable action) {
        probeTimer = reactor.delayBackground(millis, action);
    }

    /** Starts the timer after which a silent replica counts as not reached. */
    void startPathTimer(long millis, Runnable action) {
        pathTimer = reactor.delayBackground(millis, action);
    }

    /**
     * Sets the action that stops the watch on the weights version; it runs when processing starts or the attempt ends.
     */
    void setWeightsWatch(Runnable stopAction) {
        stopWatch = stopAction;
    }

    /** Stops the watch on the weights version, since processing has started. */
    void stopWeightsWatch() {
        stopWatch.run();
    }

    /** Cancels all timers when the attempt ends. */
    void cancelAll() {
        stopWatch.run();
        cancel(silenceTimer);
        cancel(probeTimer);
        cancel(pathTimer);
    }

    private static void cancel(ScheduledRunnable timer) {
        if (timer != null) {
            timer.cancel();
        }
    }
}
