package org.hornbeamhead.gateway.state;

import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.Clock;

/**
 * Takes over what another router tells of the store.
 *
 * <p>The answer was made after its question was sent and had waited. Times that the other router tells are counted from
 * there, which is never too late: what the question and the answer take on their way only makes the view look older. A
 * bound that runs from such a time allows no more than one that runs from the store's own word.
 */
final class MirrorIntake {
    private final Clock clock;
    private final StoreMirror mirror;
    private final RoutingState state;
    private final WeightsView weights;
    private final SuspensionWatch suspensions;

    MirrorIntake(
            Clock clock, StoreMirror mirror, RoutingState state, WeightsView weights, SuspensionWatch suspensions) {
        this.clock = clock;
        this.mirror = mirror;
        this.state = state;
        this.weights = weights;
        this.suspensions = suspensions;
    }

    /**
     * Takes over an answer.
     *
     * @param answer the answer
     * @param sentMillis the monotonic time at which its question was sent
     * @return whether its times could be counted; false when the machine may have stood still meanwhile
     */
    boolean take(MirrorAnswer answer, long sentMillis) {
        suspensions.look();
        mirror.apply(answer.changes());
        if (!state.trusts(sentMillis)) {
            return false;
        }
        long asOf = Math.min(clock.monotonicMillis(), sentMillis + answer.waitedMillis());
        state.confirmed(asOf - answer.ageMillis());
        state.proven(asOf - answer.provenMillisAgo());
        answer.named().forEach(age -> weights.told(age, asOf));
        return true;
    }
}
