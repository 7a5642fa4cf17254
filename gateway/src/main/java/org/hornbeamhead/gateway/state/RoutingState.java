package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.daemon.Logs;

/** The configuration in force, and how certain it is that no newer one exists. */
public final class RoutingState {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * Maximum age of the last confirmation at which the view is assumed to be the latest. A configuration must be in
     * force two seconds after it was accepted, and a waiting read confirms the view at least this often.
     */
    private static final long MAX_CONFIRMATION_AGE_MILLIS = 2_600;

    private Optional<RoutingConfig> config = Optional.empty();
    private long confirmedAt = Long.MIN_VALUE / 2;
    private long completeUpTo = Long.MIN_VALUE / 2;
    private long reliableFrom = Long.MIN_VALUE / 2;

    /**
     * Sets the configuration, unless it is older than the current one.
     *
     * @param newer the configuration
     * @param revision the revision of the store at which it was written, for the log
     */
    public void accept(RoutingConfig newer, long revision) {
        if (config.isPresent() && config.get().version() >= newer.version()) {
            return;
        }
        config = Optional.of(newer);
        logger.atInfo()
                .with(Logs.DECISION, "configuration in force")
                .with(Logs.INPUTS, "version=" + newer.version() + " revision=" + revision)
                .log("configuration %d is in force", newer.version());
    }

    /**
     * Records that the view was the latest at a time.
     *
     * @param atMillis the monotonic time
     */
    public void markConfirmed(long atMillis) {
        confirmedAt = Math.max(confirmedAt, atMillis);
    }

    /**
     * Records that the view contains all changes accepted before a request was sent.
     *
     * <p>An answer of the store may wait in a buffer while the link is congested or the process gets no processor time.
     * Changes accepted meanwhile would then be taken for newer than they are. The answer contains everything that was
     * accepted before its request was sent, however late it arrives, so the time of sending is used. An answer that is
     * ready takes some milliseconds.
     *
     * @param sentMillis the monotonic time at which the answered request was sent
     */
    public void markCompleteUpTo(long sentMillis) {
        if (isReliable(sentMillis)) {
            completeUpTo = Math.max(completeUpTo, sentMillis);
        }
    }

    /**
     * Accounts for time that the monotonic clock left out: the view is older by that time, and answers to earlier
     * requests prove nothing about their time.
     *
     * @param millis how long the machine may have been suspended, in milliseconds
     * @param nowMillis the current monotonic time
     */
    public void addSuspendedTime(long millis, long nowMillis) {
        completeUpTo -= millis;
        confirmedAt -= millis;
        reliableFrom = nowMillis;
    }

    /**
     * Returns whether the time of sending a request may be used as a reference.
     *
     * @param sentMillis the monotonic time at which the request was sent
     * @return false if the machine may have been suspended since then
     */
    public boolean isReliable(long sentMillis) {
        return sentMillis >= reliableFrom;
    }

    /**
     * Returns the time up to which the view is complete.
     *
     * @return the monotonic time, far in the past if unknown
     */
    public long completeUpTo() {
        return completeUpTo;
    }

    /**
     * Returns the configuration.
     *
     * @return the configuration in force, or empty before the first one
     */
    public Optional<RoutingConfig> config() {
        return config;
    }

    /**
     * Returns when the view was last confirmed to be the latest.
     *
     * @return the monotonic time, far in the past if it was never confirmed
     */
    public long confirmedAt() {
        return confirmedAt;
    }

    /**
     * Returns whether the view is certainly the latest, so that a request it does not permit may be rejected.
     *
     * @param nowMillis the current monotonic time
     * @return whether the view was confirmed recently
     */
    public boolean isFresh(long nowMillis) {
        return nowMillis - confirmedAt < MAX_CONFIRMATION_AGE_MILLIS;
    }

    /**
     * Returns a description of the view for the log.
     *
     * @param nowMillis the current monotonic time
     * @return the version of the configuration and the age of its confirmation
     */
    public String inputs(long nowMillis) {
        String version = config.map(c -> Long.toString(c.version())).orElse("none");
        return "configuration=" + version + " confirmedMillisAgo=" + Math.min(nowMillis - confirmedAt, 1_000_000);
    }
}
