package org.hornbeamhead.core.forward;

import java.util.function.BooleanSupplier;
import org.hornbeamhead.core.route.Route;

/**
 * Decides what follows each end of a try, and keeps the truth about whether the request may have run.
 *
 * <p>Failure: a request that may run once is sent again after its answer was lost, or a caller is told that a request
 * has not run though a replica holds it. Symptom: a letter goes out twice. Whether any replica may have run the request
 * is noted here at each end, never forgotten, and the only source of the final answer.
 *
 * <p>Owned by one thread.
 */
public final class Forwarding {
    /**
     * Replicas that may refuse one request before it is given back. Each refusal counts against the service's budget of
     * repeats; a third refusal in a row says that the service is full, not the replica.
     */
    private static final int MAX_REFUSALS = 3;

    private final Route route;
    private int possibleRuns;
    private int refusals;
    private boolean answerBegan;

    /**
     * What the router can still do.
     *
     * @param timeLeft whether enough time is left for another try
     * @param replicaLeft whether there is a usable replica that has not been tried
     * @param budget tells whether the service's budget of repeats allows one more; asked at most once, and only when
     *     everything else allows it
     */
    public record Means(boolean timeLeft, boolean replicaLeft, BooleanSupplier budget) {}

    /**
     * Starts with a request that was not sent.
     *
     * @param route the request's route
     */
    public Forwarding(Route route) {
        this.route = route;
    }

    /** Notes that the first bytes of an answer went to the caller. */
    public void answerBegan() {
        answerBegan = true;
    }

    /**
     * Tells whether the answer has begun.
     *
     * @return true once its first bytes went to the caller
     */
    public boolean hasBegun() {
        return answerBegan;
    }

    /**
     * Decides what follows the end of a try.
     *
     * @param end how it ended
     * @param means what can still be done
     * @return the next step
     */
    public NextStep after(AttemptEnd end, Means means) {
        if (end.mayHaveRun()) {
            possibleRuns++;
        } else {
            refusals++;
        }
        boolean allowed = means.timeLeft() && means.replicaLeft() && mayRepeat(end);
        // A try that never left is no arrival at any replica, so it costs no budget.
        if (allowed && (end == AttemptEnd.NOT_SENT || means.budget().getAsBoolean())) {
            return new NextStep.SendElsewhere();
        }
        return new NextStep.GiveUp(giveUp(end));
    }

    /** Notes that a try was given up after it had been sent, though nothing failed: the replica may have begun. */
    public void takenBack() {
        possibleRuns++;
    }

    private boolean mayRepeat(AttemptEnd end) {
        if (end.mayHaveRun()) {
            return route.repeatable() && possibleRuns < route.limits().maxAttempts();
        }
        return refusals < MAX_REFUSALS + 1;
    }

    /**
     * Decides what the caller is told when the request may not be sent any more.
     *
     * @return the answer
     */
    public FinalAnswer withoutAnotherTry() {
        if (answerBegan) {
            return FinalAnswer.BROKEN_OFF;
        }
        return possibleRuns > 0 ? FinalAnswer.OUTCOME_UNKNOWN : FinalAnswer.NOT_RUN;
    }

    private FinalAnswer giveUp(AttemptEnd end) {
        if (answerBegan) {
            return FinalAnswer.BROKEN_OFF;
        }
        return switch (end) {
            case FAILED -> FinalAnswer.REPLICA_FAILURE;
            case SILENT -> FinalAnswer.TIMED_OUT;
            default -> withoutAnotherTry();
        };
    }

    /**
     * Decides what the caller is told when its time is over.
     *
     * @param sent whether a try is under way at a replica
     * @return the answer
     */
    public FinalAnswer atDeadline(boolean sent) {
        if (answerBegan) {
            return FinalAnswer.BROKEN_OFF;
        }
        return sent || possibleRuns > 0 ? FinalAnswer.TIMED_OUT : FinalAnswer.NOT_RUN;
    }

    /**
     * Tells how many tries may have run.
     *
     * @return the number
     */
    public int possibleRuns() {
        return possibleRuns;
    }
}
