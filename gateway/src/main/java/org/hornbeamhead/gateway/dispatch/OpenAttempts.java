package org.hornbeamhead.gateway.dispatch;

import io.activej.reactor.nio.NioReactor;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hornbeamhead.core.forward.ForwardingState;

/**
 * The attempts of a request that may still answer: the latest one, and one before it that fell silent.
 *
 * <p>A sound replica may pause and go on, and the one that is tried instead may refuse. A silent attempt therefore
 * stays open until the latest one answers, and is the latest again if that one fails.
 */
final class OpenAttempts {
    /**
     * How long a silent replica may go on with a stream after another one got it. Two replicas must not work on one
     * stream for 400 ms; a replica that refuses does so sooner.
     */
    private static final long OVERLAP_MILLIS = 250;

    private final NioReactor reactor;
    private final ForwardingState forwarding;
    private Attempt latest;
    private Attempt silent;

    OpenAttempts(NioReactor reactor, ForwardingState forwarding) {
        this.reactor = reactor;
        this.forwarding = forwarding;
    }

    /** Adds an attempt that is about to start. */
    void add(Attempt attempt) {
        latest = attempt;
    }

    boolean isLatest(Attempt attempt) {
        return latest == attempt;
    }

    /** Returns whether an attempt fell silent and was recorded as possibly executed, while another one goes on. */
    boolean isSilent(Attempt attempt) {
        return silent == attempt;
    }

    boolean isEmpty() {
        return latest == null && silent == null;
    }

    private Stream<Attempt> all() {
        return Stream.of(Optional.ofNullable(latest), Optional.ofNullable(silent))
                .flatMap(Optional::stream);
    }

    /** Returns whether a replica may have got the request by an attempt that is still open. */
    boolean anySent() {
        return all().anyMatch(Attempt::wasSent);
    }

    /** Returns whether an attempt is not known to have started at its replica. */
    boolean anyAwaitingStart() {
        return all().anyMatch(a -> !a.hasProcessingStarted());
    }

    /** Keeps the latest attempt open as the silent one; an earlier silent one is cancelled. */
    void keepLatestAsSilent() {
        Optional.ofNullable(silent).ifPresent(Attempt::cancel);
        silent = latest;
        latest = null;
    }

    /** Limits for how long the silent replica may go on with a stream, now that another one has got it. */
    void limitOverlap() {
        Attempt limited = silent;
        if (limited != null) {
            reactor.delayBackground(OVERLAP_MILLIS, () -> {
                if (isSilent(limited)) {
                    cancel(limited);
                }
            });
        }
    }

    /**
     * Returns to the attempt that fell silent, if it is open and there is no later one.
     *
     * @return whether the request goes on with it
     */
    boolean goOnWithSilent() {
        if (latest != null || silent == null) {
            return false;
        }
        restoreSilent();
        latest.goOn();
        return true;
    }

    private void restoreSilent() {
        latest = silent;
        silent = null;
        forwarding.attemptGoesOn();
    }

    /** Cancels the other attempt, since this one has answered. */
    void answered(Attempt winner) {
        if (isSilent(winner)) {
            Optional.ofNullable(latest).ifPresent(this::cancel);
            restoreSilent();
        } else if (silent != null) {
            cancel(silent);
        }
    }

    /** Cancels the attempts that are not known to have started at their replicas. */
    void cancelAwaitingStart() {
        all().filter(a -> !a.hasProcessingStarted()).toList().forEach(this::cancel);
    }

    private void cancel(Attempt attempt) {
        if (attempt.wasSent() && !isSilent(attempt)) {
            forwarding.attemptWithdrawn();
        }
        remove(attempt);
        attempt.cancel();
    }

    /** Removes an attempt that has ended. */
    void remove(Attempt ended) {
        latest = latest == ended ? null : latest;
        silent = silent == ended ? null : silent;
    }

    /** Removes all attempts and returns them. */
    List<Attempt> removeAll() {
        List<Attempt> removed = all().toList();
        latest = null;
        silent = null;
        return removed;
    }
}
