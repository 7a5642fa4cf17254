package org.hornbeamhead.gateway.state;

import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.Clock;

/**
 * Applies the answers of other routers to the mirror and to the view of this router.
 *
 * <p>The other router created the answer after the request was sent and had waited. The times that it reports are
 * counted from that point, which is never too late: the transfer of the request and of the answer only makes the view
 * look older. A bound that starts at such a time allows no more than one that starts at a time observed from the store.
 */
final class MirrorUpdater {
    private final Clock clock;
    private final StoreMirror mirror;
    private final RoutingState state;
    private final WeightsView weights;
    private final SuspensionDetector suspensionDetector;

    MirrorUpdater(
            Clock clock,
            StoreMirror mirror,
            RoutingState state,
            WeightsView weights,
            SuspensionDetector suspensionDetector) {
        this.clock = clock;
        this.mirror = mirror;
        this.state = state;
        this.weights = weights;
        this.suspensionDetector = suspensionDetector;
    }

    /**
     * Applies an answer.
     *
     * @param answer the answer
     * @param sentMillis the monotonic time at which the request was sent
     * @return whether the reported times were recorded; false if the machine may have been suspended since the request
     *     was sent
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
