package org.hornbeamhead.core.admission;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.outcome.Reason;
import org.hornbeamhead.core.placement.PlacementChoice;
import org.hornbeamhead.core.placement.PlacementTarget;

/**
 * Decides at the door of one pool, from the classes' targets alone.
 *
 * <p>A request that would wait too long is refused at once and told when to come back; it is never held until its
 * target has passed. Batch requests wait for slack, so that interactive ones do not wait behind them.
 */
public final class AdmissionControl {
    private static final double PRESSED_SHARE = 0.5;
    private static final double FREE_SHARE = 0.25;
    private static final double SLACK_SHARE = 0.1;
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 30_000;

    private final FairShare shares = new FairShare();
    private final RandomGenerator random;

    /**
     * Makes a control that has let nothing in.
     *
     * @param random spreads the times to come back
     */
    public AdmissionControl(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Decides on an interactive request.
     *
     * @param customer the customer
     * @param target the class's target
     * @param choice the best replica for the request
     * @param nowMillis the monotonic time
     * @return to admit or to refuse
     */
    public AdmissionDecision interactive(
            String customer, PlacementTarget target, PlacementChoice choice, long nowMillis) {
        double wait = choice.replica().waitMillis(nowMillis);
        double limit = target.firstTokenMillis();
        boolean late = choice.firstTokenMillis() > limit && wait > limit * FREE_SHARE;
        if (late) {
            return refuse(Reason.OVERLOADED, choice.firstTokenMillis() - limit);
        }
        if (wait > limit * PRESSED_SHARE && shares.isOver(customer, nowMillis)) {
            return refuse(Reason.OVER_SHARE, wait);
        }
        shares.used(customer, choice.uncachedTokens() + 1.0, nowMillis);
        return new AdmissionDecision.Admit();
    }

    /**
     * Decides on a batch request.
     *
     * @param tightestMillis the tightest first-token target of the interactive classes, in milliseconds
     * @param choice the best replica for the request
     * @param pressing whether the request must start now to be done in time
     * @param nowMillis the monotonic time
     * @return to admit or to wait
     */
    public AdmissionDecision batch(double tightestMillis, PlacementChoice choice, boolean pressing, long nowMillis) {
        double wait = choice.replica().waitMillis(nowMillis);
        return pressing || wait <= tightestMillis * SLACK_SHARE
                ? new AdmissionDecision.Admit()
                : new AdmissionDecision.Wait();
    }

    private AdmissionDecision refuse(Reason reason, double overMillis) {
        long base = Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, (long) overMillis));
        return new AdmissionDecision.Refuse(reason, Duration.ofMillis(base / 2 + random.nextLong(base + 1)));
    }
}
