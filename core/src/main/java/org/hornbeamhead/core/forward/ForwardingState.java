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
    private final int maxExecutions;
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
        this(route, 0, route.limits().maxAttempts());
    }

    /**
     * Creates the state of a request that another router may have sent.
     *
     * @param route the request's route
     * @param possibleExecutions how many attempts of other routers may have been executed
     * @param allowance how many attempts more may be executed here, at most as many as the route allows in all
     */
    public ForwardingState(Route route, int possibleExecutions, int allowance) {
        this.route = route;
        this.possibleExecutions = possibleExecutions;
        this.maxExecutions = (int) Math.min(route.limits().maxAttempts(), (long) possibleExecutions + allowance);
    }

    /**
     * Creates the state in which a request is handed to another router.
     *
     * @return a state with the possible executions and the progress of the response, and without the refusals
     */
    public ForwardingState forHandOver() {
        ForwardingState state =
                new ForwardingState(route, possibleExecutions, route.limits().maxAttempts());
        state.responseStarted = responseStarted;
        return state;
    }

    /**
     * Returns how many executions are left to another router. If yet another one could be asked, one is kept for it,
     * since the number of executions at a router that falls silent is not known.
     *
     * @param otherLeft whether yet another router could be asked
     * @return the number, one at least
     */
    public int allowance(boolean otherLeft) {
        int left = Math.max(1, maxExecutions - possibleExecutions);
        return otherLeft && left > 1 && route.repeatable() ? left - 1 : left;
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
        return nextStep(outcome, 1, conditions);
    }

    /**
     * Records the outcome of an attempt at another router, which may have made several, and decides on the next step.
     *
     * @param outcome the outcome of the attempt
     * @param executions how many executions the outcome may stand for
     * @param conditions the conditions for another attempt
     * @return the next step
     */
    public NextStep nextStep(AttemptOutcome outcome, int executions, RetryConditions conditions) {
        anySent |= outcome.wasSent();
        if (outcome.mayHaveExecuted()) {
            possibleExecutions += executions;
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

    /**
     * Records that an attempt was withdrawn after it was sent, without a failure; the replica may have started it.
     *
     * @param executions how many executions the attempt may stand for
     */
    public void attemptWithdrawn(int executions) {
        possibleExecutions += executions;
    }

    /**
     * Records that an attempt which was recorded as silent goes on, or has not run after all.
     *
     * @param executions how many executions were recorded
     */
    public void attemptGoesOn(int executions) {
        possibleExecutions -= executions;
    }

    /**
     * Returns whether another attempt is allowed if the one in progress may have been executed.
     *
     * @return true if the request may be executed once more than now
     */
    public boolean allowsAttemptAfterThis() {
        return route.repeatable() && possibleExecutions + 1 < maxExecutions;
    }

    private boolean mayRetry(AttemptOutcome outcome) {
        if (outcome.mayHaveExecuted()) {
            return route.repeatable() && possibleExecutions < maxExecutions;
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
     * Returns the response to the caller when the process of this router ends.
     *
     * @param sent whether an attempt is in progress at a replica
     * @return the final response
     */
    public FinalResponse responseAtEndOfProcess(boolean sent) {
        FinalResponse response = responseAtDeadline(sent);
        return response == FinalResponse.TIMED_OUT ? FinalResponse.OUTCOME_UNKNOWN : response;
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
