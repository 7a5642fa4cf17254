package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import org.hornbeamhead.core.forward.ForwardingState;

/**
 * The handing over of a request to other routers, at most once.
 *
 * <p>A silent attempt of this router stays open until one of them has an answer for the caller: its replica may be
 * sound and answer first, or alone. The request ends here once that attempt is closed.
 */
final class Handover implements RelayedRequest.SilentAttempt {
    private final ForwardingState forwarding;
    private final OpenAttempts<Attempt> attempts;
    private final Operations operations;
    private Optional<RelayedRequest> open = Optional.empty();
    private boolean started;

    /**
     * What is done with the request at this router.
     *
     * @param leave ends it here, since other routers answer it
     * @param goOn goes on with it here alone
     */
    record Operations(Runnable leave, Runnable goOn) {}

    Handover(ForwardingState forwarding, OpenAttempts<Attempt> attempts, Operations operations) {
        this.forwarding = forwarding;
        this.attempts = attempts;
        this.operations = operations;
    }

    /** Returns whether the request was handed over before. */
    boolean wasStarted() {
        return started;
    }

    /** Returns whether other routers have the request beside a silent attempt here. */
    boolean isOpen() {
        return open.isPresent();
    }

    /** Hands the request over. */
    void start(RelayedRequest request) {
        started = true;
        open = Optional.of(request);
        leaveIfAllEnded();
        request.start();
    }

    /** Withdraws the request from other routers, since the silent attempt here has answered. */
    void attemptAnswered() {
        open.ifPresent(r -> takeBack(r.withdraw()));
    }

    /** Handles the end of the silent attempt. */
    void attemptEnded(boolean mayHaveExecuted) {
        if (!mayHaveExecuted) {
            open.ifPresent(RelayedRequest::silentAttemptRefused);
        }
        leaveIfAllEnded();
    }

    /** Leaves the request to other routers if no attempt is open here. */
    void leaveIfAllEnded() {
        if (attempts.isEmpty()) {
            close();
        }
    }

    @Override
    public boolean goOn(int executions) {
        if (open.isEmpty()) {
            return false;
        }
        takeBack(executions);
        return attempts.goOnWithSilent();
    }

    private void takeBack(int executionsElsewhere) {
        open = Optional.empty();
        forwarding.attemptWithdrawn(executionsElsewhere);
        operations.goOn().run();
    }

    @Override
    public void close() {
        if (open.isPresent()) {
            open = Optional.empty();
            operations.leave().run();
        }
    }
}
