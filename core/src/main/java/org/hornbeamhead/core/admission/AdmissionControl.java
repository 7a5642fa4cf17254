package org.hornbeamhead.core.admission;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.outcome.Reason;
import org.hornbeamhead.core.placement.PlacementChoice;
import org.hornbeamhead.core.placement.PlacementTarget;

/**
 * Admission control of one pool, based only on the targets of the classes of work.
 *
 * <p>A request whose wait would be too long is refused at once with a retry time, and is never queued until its target
 * has passed. Batch requests wait for idle capacity, so that interactive requests do not queue behind them.
 */
public final class AdmissionControl {
    /** Fair shares are enforced when the wait exceeds this ratio of the first-token target. */
    private static final double FAIR_SHARE_WAIT_RATIO = 0.5;
    /** Requests are never refused as too late while the wait is within this ratio of the first-token target. */
    private static final double ALWAYS_ADMIT_WAIT_RATIO = 0.25;
    /** Batch requests are admitted while the wait is within this ratio of the tightest first-token target. */
    private static final double BATCH_WAIT_RATIO = 0.1;

    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 30_000;

    private final FairShare shares = new FairShare();
    private final RandomGenerator random;

    /**
     * Creates an admission control without any recorded usage.
     *
     * @param random randomizes the retry times
     */
    public AdmissionControl(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Decides on an interactive request.
     *
     * @param customer the customer
     * @param target the target of the class of work
     * @param choice the best replica for the request
     * @param nowMillis the monotonic time
     * @return {@code Admit} or {@code Refuse}
     */
    public AdmissionDecision decideInteractive(
            String customer, PlacementTarget target, PlacementChoice choice, long nowMillis) {
        double wait = choice.replica().waitMillis(nowMillis);
        double limit = target.firstTokenMillis();
        boolean late = choice.firstTokenMillis() > limit && wait > limit * ALWAYS_ADMIT_WAIT_RATIO;
        if (late) {
            return refuse(Reason.OVERLOADED, choice.firstTokenMillis() - limit);
        }
        if (wait > limit * FAIR_SHARE_WAIT_RATIO && shares.isOverShare(customer, nowMillis)) {
            return refuse(Reason.OVER_SHARE, wait);
        }
        shares.recordUsage(customer, choice.uncachedTokens() + 1.0, nowMillis);
        return new AdmissionDecision.Admit();
    }

    /**
     * Decides on a batch request.
     *
     * @param tightestMillis the tightest first-token target of the interactive classes, in milliseconds
     * @param choice the best replica for the request
     * @param urgent whether the request must start now to finish in time
     * @param nowMillis the monotonic time
     * @return {@code Admit} or {@code Wait}
     */
    public AdmissionDecision decideBatch(
            double tightestMillis, PlacementChoice choice, boolean urgent, long nowMillis) {
        double wait = choice.replica().waitMillis(nowMillis);
        return urgent || wait <= tightestMillis * BATCH_WAIT_RATIO
                ? new AdmissionDecision.Admit()
                : new AdmissionDecision.Wait();
    }

    private AdmissionDecision refuse(Reason reason, double excessMillis) {
        long baseMillis = Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, (long) excessMillis));
        return new AdmissionDecision.Refuse(
                reason, Duration.ofMillis(baseMillis / 2 + random.nextLong(baseMillis + 1)));
    }
}
