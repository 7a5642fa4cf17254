package org.hornbeamhead.gateway.dispatch;

import io.activej.reactor.nio.NioReactor;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;
import org.hornbeamhead.core.forward.ForwardingState;

/**
 * The attempts of a request that may still answer: the latest one, and one before it that fell silent.
 *
 * <p>A sound replica may pause and go on, and the one that is tried instead may refuse. A silent attempt therefore
 * stays open until the latest one answers, and is the latest again if that one fails. The same holds for other routers
 * that a request is handed to.
 *
 * @param <A> an attempt at a replica, or at another router
 */
final class OpenAttempts<A> {
    /** How often it is checked whether a replica has begun a stream that another one got before. */
    private static final long START_CHECK_MILLIS = 100;

    private final NioReactor reactor;
    private final ForwardingState forwarding;
    private final Operations<A> operations;
    private A latest;
    private A silent;

    /**
     * What is done with an attempt.
     *
     * @param wasSent returns whether the request was written to a connection
     * @param hasStarted returns whether the other side has begun to work on the request, as far as is known
     * @param executions returns how many executions an attempt may stand for
     * @param goOn waits on for an attempt that fell silent
     * @param cancel ends an attempt by closing its connection
     */
    record Operations<A>(
            Predicate<A> wasSent,
            Predicate<A> hasStarted,
            ToIntFunction<A> executions,
            Consumer<A> goOn,
            Consumer<A> cancel) {}

    OpenAttempts(NioReactor reactor, ForwardingState forwarding, Operations<A> operations) {
        this.reactor = reactor;
        this.forwarding = forwarding;
        this.operations = operations;
    }

    /** Adds an attempt that is about to start. */
    void add(A attempt) {
        latest = attempt;
    }

    boolean isLatest(A attempt) {
        return latest == attempt;
    }

    /** Returns whether an attempt fell silent and was recorded as possibly executed, while another one goes on. */
    boolean isSilent(A attempt) {
        return silent == attempt;
    }

    boolean isEmpty() {
        return latest == null && silent == null;
    }

    private Stream<A> all() {
        return Stream.of(Optional.ofNullable(latest), Optional.ofNullable(silent))
                .flatMap(Optional::stream);
    }

    /** Returns whether the request may have been received by an attempt that is still open. */
    boolean anySent() {
        return all().anyMatch(operations.wasSent());
    }

    /** Returns whether an attempt is not known to have started. */
    boolean anyAwaitingStart() {
        return all().anyMatch(operations.hasStarted().negate());
    }

    /** Keeps the latest attempt open as the silent one; an earlier silent one is cancelled. */
    void keepLatestAsSilent() {
        Optional.ofNullable(silent).ifPresent(operations.cancel());
        silent = latest;
        latest = null;
    }

    /**
     * Cancels the silent attempt at a stream soon after the latest one has begun, even if only with a part of an event.
     * Two replicas must not work on one stream; a replica that has sent nothing of it has not begun.
     */
    void limitOverlap() {
        if (silent != null && latest != null) {
            checkStart(latest, silent);
        }
    }

    private void checkStart(A later, A earlier) {
        reactor.delayBackground(START_CHECK_MILLIS, () -> {
            if (!isLatest(later) || !isSilent(earlier)) {
                return;
            }
            if (operations.hasStarted().test(later)) {
                cancel(earlier);
            } else {
                checkStart(later, earlier);
            }
        });
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
        operations.goOn().accept(latest);
        return true;
    }

    private void restoreSilent() {
        latest = silent;
        silent = null;
        forwarding.attemptGoesOn(operations.executions().applyAsInt(latest));
    }

    /** Cancels the other attempt, since this one has answered. */
    void answered(A winner) {
        if (isSilent(winner)) {
            Optional.ofNullable(latest).ifPresent(this::cancel);
            restoreSilent();
        } else if (silent != null) {
            cancel(silent);
        }
    }

    /** Cancels the attempts that are not known to have started. */
    void cancelAwaitingStart() {
        all().filter(operations.hasStarted().negate()).toList().forEach(this::cancel);
    }

    /** Cancels all attempts, which may have been executed. */
    void cancelAll() {
        all().toList().forEach(this::cancel);
    }

    private void cancel(A attempt) {
        if (operations.wasSent().test(attempt) && !isSilent(attempt)) {
            forwarding.attemptWithdrawn(operations.executions().applyAsInt(attempt));
        }
        remove(attempt);
        operations.cancel().accept(attempt);
    }

    /** Removes an attempt that has ended. */
    void remove(A ended) {
        latest = latest == ended ? null : latest;
        silent = silent == ended ? null : silent;
    }

    /** Removes all attempts and returns them. */
    List<A> removeAll() {
        List<A> removed = all().toList();
        latest = null;
        silent = null;
        return removed;
    }
}
