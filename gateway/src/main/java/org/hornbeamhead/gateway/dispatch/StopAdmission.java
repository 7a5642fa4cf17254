package org.hornbeamhead.gateway.dispatch;

import org.hornbeamhead.core.forward.RefusalReason;
import org.hornbeamhead.gateway.caller.CallerResponse;

/** Decides which requests a router that is about to end still takes, and leaves the others to other routers. */
final class StopAdmission {
    private final OwnAnswers answers;
    private long processEndMillis = Long.MAX_VALUE;

    StopAdmission(OwnAnswers answers) {
        this.answers = answers;
    }

    /** Sets when the process ends at the latest, on the monotonic clock. */
    void stop(long endMillis) {
        processEndMillis = endMillis;
    }

    /** Returns whether the end of the process may cut a request that must not be sent again. */
    boolean mayCut(RoutedRequest routed) {
        return !routed.route().repeatable() && routed.deadline() > processEndMillis;
    }

    /** Leaves a request to another router; it has not run. */
    void leave(RoutedRequest routed, CallerResponse response) {
        String reason = "the router may end before the request";
        if (routed.origin().isPresent()) {
            answers.decline(routed.callerRequest(), response, reason);
        } else {
            reject(routed.callerRequest(), response, RefusalReason.STOPPING, reason);
        }
    }

    /** Rejects a request that has not run and that the caller may send to another router at once. */
    void reject(CallerRequest request, CallerResponse response, RefusalReason why, String reason) {
        answers.rejectNotExecuted(
                request, response, Refusal.beforeRouting(why), reason, Dispatcher.OTHER_ROUTER_RETRY_MILLIS);
    }
}
