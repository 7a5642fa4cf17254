package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.daemon.Logs;

/** The configuration in force, and how sure the router is that there is no newer one. */
public final class RoutingState {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * A view that was confirmed within this time is taken as the newest. A configuration must be in force two seconds
     * after it was accepted, and a waiting read confirms the view at least this often.
     */
    private static final long MAX_CONFIRMATION_AGE_MILLIS = 2_600;

    private Optional<RoutingConfig> config = Optional.empty();
    private long confirmedAt = Long.MIN_VALUE / 2;
    private long completeUpTo = Long.MIN_VALUE / 2;
    private long reliableFrom = Long.MIN_VALUE / 2;

    /**
     * Takes over a configuration, unless it is older than the present one.
     *
     * @param newer the configuration
     * @param revision the store's revision at which it was written, for the log
     */
    public void accept(RoutingConfig newer, long revision) {
        if (config.isPresent() && config.get().version() >= newer.version()) {
            return;
        }
        config = Optional.of(newer);
        logger.atInfo()
                .with(Logs.DECISION, "configuration in force")
                .with(Logs.INPUTS, "version=" + newer.version() + " revision=" + revision)
                .log("configuration %d", newer.version());
    }

    /**
     * Notes that the view was the newest at a time.
     *
     * @param atMillis the monotonic time
     */
    public void markConfirmed(long atMillis) {
        confirmedAt = Math.max(confirmedAt, atMillis);
    }

    /**
     * Notes that the view holds all that was accepted before a time.
     *
     * <p>Failure: an answer of the store waits in a buffer, while the link is choked or the process has no processor.
     * Symptom: what was accepted meanwhile is taken for newer than it is. Nothing that was accepted before the question
     * was sent is missing from its answer, however late that comes; an answer that is ready takes some milliseconds.
     *
     * @param sentMillis the monotonic time at which the answered question was sent
     */
    public void markCompleteUpTo(long sentMillis) {
        if (isReliable(sentMillis)) {
            completeUpTo = Math.max(completeUpTo, sentMillis);
        }
    }

    /**
     * Counts time that the monotonic clock left out: the view is as much older, and what was asked before tells nothing
     * about when.
     *
     * @param millis how long the machine may have stood still, in milliseconds
     * @param nowMillis the monotonic time
     */
    public void addSuspendedTime(long millis, long nowMillis) {
        completeUpTo -= millis;
        confirmedAt -= millis;
        reliableFrom = nowMillis;
    }

    /**
     * Tells whether a time of sending may be counted from.
     *
     * @param sentMillis the monotonic time at which a question was sent
     * @return false if the machine may have stood still since
     */
    public boolean isReliable(long sentMillis) {
        return sentMillis >= reliableFrom;
    }

    /**
     * Tells before when the view misses nothing.
     *
     * @return the monotonic time, far in the past when never
     */
    public long completeUpTo() {
        return completeUpTo;
    }

    /**
     * Returns the configuration.
     *
     * @return the configuration in force, empty before the first
     */
    public Optional<RoutingConfig> config() {
        return config;
    }

    /**
     * Tells when the view was last the newest.
     *
     * @return the monotonic time, far in the past when never
     */
    public long confirmedAt() {
        return confirmedAt;
    }

    /**
     * Tells whether the view is surely the newest, so that what it does not allow may be denied.
     *
     * @param nowMillis the monotonic time
     * @return whether it was confirmed lately
     */
    public boolean isFresh(long nowMillis) {
        return nowMillis - confirmedAt < MAX_CONFIRMATION_AGE_MILLIS;
    }

    /**
     * Describes the view for the log.
     *
     * @param nowMillis the monotonic time
     * @return its version and age
     */
    public String inputs(long nowMillis) {
        String version = config.map(c -> Long.toString(c.version())).orElse("none");
        return "configuration=" + version + " confirmedMillisAgo=" + Math.min(nowMillis - confirmedAt, 1_000_000);
    }
}
