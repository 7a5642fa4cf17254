package org.hornbeamhead.core.forward;

import java.util.function.BooleanSupplier;
import org.hornbeamhead.core.route.Route;

/**
 * Decides on the next step after each attempt at a request, and tracks whether any replica may have executed it.
 *
 * <p>A request that is not idempotent must not be sent again after its response was lost, and a caller must not be told
 * that a request has not run while a replica holds it; otherwise its effect, such as sending a letter, happens twice.
 * Each possible execution is recorded here and never discarded, and the final response follows from this record alone.
 *
 * <p>Not thread-safe: all calls must come from one thread.
 */
public final class ForwardingState {
    /**
     * Maximum number of refusals after which a request is sent to another replica. These retries count against the
     * service's retry budget; a further refusal indicates that the whole service is full, not a single replica.
     */
    private static final int MAX_REFUSALS = 3;

    private final Route route;
    private int possibleExecutions;
    private int refusals;
    private boolean anySent;
    private boolean responseStarted;

    /**
     * The conditions for a further attempt.
     *
     * @param timeLeft whether enough time is left for another attempt
     * @param replicaLeft whether there is a usable replica that has not been tried
     * @param retryBudget takes one retry from the service's budget, if there is one; called at most once, and only if
     *     all other conditions hold
     */
    public record RetryConditions(boolean timeLeft, boolean replicaLeft, BooleanSupplier retryBudget) {}

    /**
     * Creates the state of a request that has not been sent.
     *
     * @param route the request's route
     */
    public ForwardingState(Route route) {
        this(route, 0);
    }

    /**
     * Creates the state of a request that another router may have sent.
     *
     * @param route the request's route
     * @param possibleExecutions how many attempts of the other router may have been executed
     */
    public ForwardingState(Route route, int possibleExecutions) {
        this.route = route;
        this.possibleExecutions = possibleExecutions;
    }

    /** Records that the first bytes of a response were sent to the caller. */
    public void responseStarted() {
        responseStarted = true;
    }

    /**
     * Returns whether the response has started.
     *
     * @return true once its first bytes were sent to the caller
     */
    public boolean hasResponseStarted() {
        return responseStarted;
    }

    /**
     * Records the outcome of an attempt and decides on the next step.
     *
     * @param outcome the outcome of the attempt
     * @param conditions the conditions for another attempt
     * @return the next step
     */
    public NextStep nextStep(AttemptOutcome outcome, RetryConditions conditions) {
        anySent |= outcome.wasSent();
        if (outcome.mayHaveExecuted()) {
            possibleExecutions++;
        } else {
            refusals++;
        }
        boolean allowed = conditions.timeLeft() && conditions.replicaLeft() && mayRetry(outcome);
        // An attempt that was not sent put no load on any replica, so its retry is free.
        if (allowed && (!outcome.wasSent() || conditions.retryBudget().getAsBoolean())) {
            return new NextStep.SendElsewhere();
        }
        return new NextStep.GiveUp(responseAfter(outcome));
    }

    /**
     * Returns whether the request has arrived at a replica, so that each further attempt is a retry.
     *
     * @return true once an attempt was sent, also if the replica refused it
     */
    public boolean wasSent() {
        return anySent || possibleExecutions > 0;
    }

    /** Records that an attempt was withdrawn after it was sent, without a failure; the replica may have started it. */
    public void attemptWithdrawn() {
        possibleExecutions++;
    }

    /** Records that an attempt which was recorded as silent goes on, or has not run after all. */
    public void attemptGoesOn() {
        possibleExecutions--;
    }

    private boolean mayRetry(AttemptOutcome outcome) {
        if (outcome.mayHaveExecuted()) {
            return route.repeatable() && possibleExecutions < route.limits().maxAttempts();
        }
        return refusals < MAX_REFUSALS + 1;
    }

    /**
     * Returns the response to the caller if the request may not be sent again.
     *
     * @return the final response
     */
    public FinalResponse responseWithoutRetry() {
        if (responseStarted) {
            return FinalResponse.BROKEN_OFF;
        }
        return possibleExecutions > 0 ? FinalResponse.OUTCOME_UNKNOWN : FinalResponse.NOT_RUN;
    }

    private FinalResponse responseAfter(AttemptOutcome outcome) {
        if (responseStarted) {
            return FinalResponse.BROKEN_OFF;
        }
        return switch (outcome) {
            case FAILED -> FinalResponse.REPLICA_FAILURE;
            case SILENT -> FinalResponse.TIMED_OUT;
            default -> responseWithoutRetry();
        };
    }

    /**
     * Returns the response to the caller when the deadline passes.
     *
     * @param sent whether an attempt is in progress at a replica
     * @return the final response
     */
    public FinalResponse responseAtDeadline(boolean sent) {
        if (responseStarted) {
            return FinalResponse.BROKEN_OFF;
        }
        return sent || possibleExecutions > 0 ? FinalResponse.TIMED_OUT : FinalResponse.NOT_RUN;
    }

    /**
     * Returns how many attempts may have been executed.
     *
     * @return the number of attempts
     */
    public int possibleExecutions() {
        return possibleExecutions;
    }
}
