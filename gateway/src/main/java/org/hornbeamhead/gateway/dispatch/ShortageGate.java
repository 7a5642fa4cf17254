package org.hornbeamhead.gateway.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.engine.EngineAdmission;
import org.hornbeamhead.core.engine.EngineCandidate;
import org.hornbeamhead.core.engine.Prompt;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.gateway.caller.CallerResponse;

/**
 * The part of one exchange that regards shortage: whether its request waits, which engines it may get, and when its
 * caller may return. For services without deferrable routes, it only applies {@link EngineAdmission}.
 */
final class ShortageGate {
    private final DeferredRequests deferred;
    private final TargetSelector selector;
    private final ServiceRequest request;
    private final ReplicaScope scope;
    private Optional<DeferrableRequest> asked = Optional.empty();

    ShortageGate(DeferredRequests deferred, TargetSelector selector, ServiceRequest request, ReplicaScope scope) {
        this.deferred = deferred;
        this.selector = selector;
        this.request = request;
        this.scope = scope;
    }

    /**
     * Decides on a new request, now or later.
     *
     * @param mayWait whether the request may wait if it is deferrable
     * @param outcome receives the decision
     */
    void ask(boolean mayWait, DeferrableRequest.Outcome outcome) {
        if (request.hasDeferrable()) {
            deferred.recordArrival(request.service().name(), request.isDeferrable());
        }
        if (mayWait && request.isDeferrable() && request.route().limits().latencyTargetMillis() > 0) {
            DeferrableRequest deferrable = describe(outcome);
            asked = Optional.of(deferrable);
            deferred.ask(deferrable);
        } else {
            outcome.send();
        }
    }

    private DeferrableRequest describe(DeferrableRequest.Outcome outcome) {
        CallerRequest caller = request.callerRequest();
        int promptTokens = caller.prompt().map(Prompt::memoryTokens).orElse(0);
        long tokens = caller.tokenCount().getOrElse(OptionalLong.empty()).orElse(promptTokens);
        return new DeferrableRequest(
                caller.id(),
                request.service().name(),
                request.route().name(),
                request.owner().map(KeyOwner::customer).orElse(""),
                request.route().priority(),
                new DeferrableRequest.Size(
                        (int) Math.min(tokens, Integer.MAX_VALUE),
                        caller.message().body().length),
                DeferrableRequest.Times.of(
                        request.routed().arrivedAt(),
                        request.routed().deadline(),
                        request.route().limits().latencyTargetMillis(),
                        request.urgentTargetMillis()),
                () -> selector.engines(request, scope),
                outcome);
    }

    /** Returns the engines that the request should get: those with room if it is deferrable. */
    List<EngineCandidate> eligible(List<EngineCandidate> engines) {
        return request.isDeferrable()
                ? deferred.withRoom(request.service().name(), request.urgentTargetMillis(), engines)
                : engines;
    }

    /**
     * Decides whether a new request is refused because it would be late at its engine.
     *
     * @return the delay of the caller's return, in milliseconds; empty to send the request
     */
    OptionalLong refusalMillis(Target target, long timeLeftMillis) {
        OptionalLong retryMillis = target.engineChoice()
                .map(c -> EngineAdmission.retryAfterMillis(
                        c, request.route().limits().latencyTargetMillis(), timeLeftMillis))
                .orElse(OptionalLong.empty());
        if (!request.hasDeferrable()) {
            return retryMillis;
        }
        String service = request.service().name();
        if (retryMillis.isPresent()) {
            return OptionalLong.of(
                    deferred.bookReturnMillis(service, request.route().priority(), timeLeftMillis));
        }
        deferred.recordSent(service, request.isDeferrable());
        return retryMillis;
    }

    /** Rejects the request, which no replica has run; a booked return is told as it is. */
    void reject(OwnAnswers answers, CallerResponse response, Refusal refusal, String reason, long retryMillis) {
        if (request.hasDeferrable()) {
            answers.rejectUntil(request.callerRequest(), response, refusal, reason, retryMillis);
        } else {
            answers.rejectNotExecuted(request.callerRequest(), response, refusal, reason, retryMillis);
        }
    }

    /**
     * Returns whether the request, which has not ended, still waits: once admitted, it is tried at a replica at once.
     */
    boolean isWaiting() {
        return asked.isPresent() && scope.triedCount() == 0;
    }

    /** Takes the request out of the queue if it waits, and lets others use what it occupied. */
    void requestEnded() {
        asked.ifPresent(deferred::leave);
        deferred.retry();
    }
}
