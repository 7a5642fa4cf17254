package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import org.hornbeamhead.core.forward.AttemptOutcome;
import org.hornbeamhead.core.forward.FinalResponse;
import org.hornbeamhead.core.forward.ForwardingState;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.gateway.caller.CallerResponse;

/** The answer to a request that no replica has completed, as it follows from what happened to its attempts. */
final class FinalAnswer {
    private final Dispatcher dispatcher;
    private final ServiceRequest serviceRequest;
    private final CallerResponse response;
    private final ForwardingState forwarding;
    private Optional<AttemptOutcome> firstLoss = Optional.empty();

    FinalAnswer(
            Dispatcher dispatcher, ServiceRequest serviceRequest, CallerResponse response, ForwardingState forwarding) {
        this.dispatcher = dispatcher;
        this.serviceRequest = serviceRequest;
        this.response = response;
        this.forwarding = forwarding;
    }

    /** Records the end of an attempt that gave no complete answer. */
    void recordLoss(AttemptOutcome end) {
        firstLoss = firstLoss.or(() -> Optional.of(end));
    }

    /**
     * Sends the answer, or ends one that has begun.
     *
     * @param answer the kind of answer
     * @param refusal what is counted if the request has not run
     * @param reason the reason, sent to the caller
     * @param failure the replica's error response, if it sent one
     * @param retryAfterMillis when the caller may return if the request has not run
     */
    void send(
            FinalResponse answer,
            Refusal refusal,
            String reason,
            Optional<BufferedResponse> failure,
            long retryAfterMillis) {
        if (answer == FinalResponse.BROKEN_OFF) {
            String cause = firstLoss.map(AttemptOutcome::name).orElse("DEADLINE");
            dispatcher.metrics().count("hornbeam_answers_cut", "cause", cause);
            response.abort();
        } else if (answer == FinalResponse.REPLICA_FAILURE && failure.isPresent()) {
            failure.get().sendTo(response);
        } else if (answer == FinalResponse.NOT_RUN) {
            rejectNotExecuted(refusal, reason, retryAfterMillis);
        } else {
            dispatcher
                    .answers()
                    .respond(serviceRequest.callerRequest(), response, statusOf(answer), reason, Headers.NONE);
        }
    }

    /** A request that was sent to a replica is not declined: a third router would send it once more without pay. */
    private void rejectNotExecuted(Refusal refusal, String reason, long retryAfterMillis) {
        boolean mayBeDeclined = serviceRequest.routed().origin().isPresent() && !forwarding.wasSent();
        String service = serviceRequest.service().name();
        if (mayBeDeclined && dispatcher.paths().isLost(service)) {
            dispatcher.retryBudgets().withdrawRequest(service);
            dispatcher.answers().decline(serviceRequest.callerRequest(), response, "no path to the service");
        } else {
            dispatcher
                    .answers()
                    .rejectNotExecuted(serviceRequest.callerRequest(), response, refusal, reason, retryAfterMillis);
        }
    }

    private static int statusOf(FinalResponse answer) {
        return answer.status() == 0 ? FinalResponse.OUTCOME_UNKNOWN.status() : answer.status();
    }
}
