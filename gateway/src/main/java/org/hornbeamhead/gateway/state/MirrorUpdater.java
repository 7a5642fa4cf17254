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
final class MirrorUpdater {
    private final Clock clock;
    private final StoreMirror mirror;
    private final RoutingState state;
    private final WeightsView weights;
    private final SuspensionDetector suspensionDetector;

    MirrorUpdater(
            Clock clock, StoreMirror mirror, RoutingState state, WeightsView weights, SuspensionDetector suspensions) {
        this.clock = clock;
        this.mirror = mirror;
        this.state = state;
        this.weights = weights;
        this.suspensionDetector = suspensions;
    }

    /**
     * Takes over an answer.
     *
     * @param answer the answer
     * @param sentMillis the monotonic time at which its question was sent
     * @return whether its times could be counted; false when the machine may have stood still meanwhile
     */
    boolean apply(MirrorAnswer answer, long sentMillis) {
        suspensionDetector.check();
        mirror.apply(answer.changes());
        if (!state.isReliable(sentMillis)) {
            return false;
        }
        long asOf = Math.min(clock.monotonicMillis(), sentMillis + answer.waitedMillis());
        state.markConfirmed(asOf - answer.ageMillis());
        state.markCompleteUpTo(asOf - answer.provenMillisAgo());
        answer.named().forEach(age -> weights.recordFromPeer(age, asOf));
        return true;
    }
}
