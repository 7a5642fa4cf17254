package org.hornbeamhead.gateway.dispatch;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Collectors;
import org.hornbeamhead.core.forward.AttemptOutcome;
import org.hornbeamhead.core.forward.NextStep;
import org.hornbeamhead.core.forward.ServedOutcome;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** Logs and counts the attempts at one request and its end. */
final class ExchangeLog {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Dispatcher dispatcher;
    private final ServiceRequest serviceRequest;
    private final ReplicaScope scope;
    private final RequestContent content;

    ExchangeLog(Dispatcher dispatcher, ServiceRequest serviceRequest, ReplicaScope scope, RequestContent content) {
        this.dispatcher = dispatcher;
        this.serviceRequest = serviceRequest;
        this.scope = scope;
        this.content = content;
    }

    /** Logs that an attempt failed or fell silent, and what follows. */
    void attemptEnded(Attempt attempt, AttemptOutcome end, String reason, NextStep step) {
        dispatcher.metrics().count("hornbeam_attempts_failed", "end", end.name());
        logger.atInfo()
                .with(Logs.REQUEST, serviceRequest.callerRequest().id())
                .with(Logs.REPLICA, attempt.target().replica().entry().id())
                .with(Logs.DECISION, "attempt " + end)
                .with(Logs.REASON, reason)
                .with(
                        Logs.INPUTS,
                        "millisLeft=" + (serviceRequest.routed().deadline() - now()) + " tried=" + scope.triedCount()
                                + " "
                                + dispatcher
                                        .retryBudgets()
                                        .describe(serviceRequest.service().name())
                                + (end.mayHaveExecuted() ? " " + content.describe() : "")
                                + " begun=" + attempt.hasProcessingStarted() + " next=" + step)
                .log("attempt ended: %s", end);
    }

    /**
     * Logs that the response is complete or given up.
     *
     * @param outcome the reason of the end
     * @param served what the end means for the caller; empty if the request goes on at another router
     * @param timings the timings of the events
     */
    void requestEnded(String outcome, Optional<ServedOutcome> served, StreamTimings timings) {
        Duration elapsed = elapsed();
        served.ifPresent(s -> serviceRequest.routed().countServed(s, dispatcher.metrics()));
        dispatcher
                .metrics()
                .time(
                        "hornbeam_requests",
                        elapsed,
                        "route",
                        serviceRequest.route().name(),
                        "outcome",
                        outcome);
        logger.atInfo()
                .with(Logs.REQUEST, serviceRequest.callerRequest().id())
                .with(Logs.DECISION, "ended " + outcome)
                .with(Logs.INPUTS, summary(timings, elapsed))
                .log("request ended: %s", outcome);
    }

    /** Returns the outcome of a response that is complete now. */
    ServedOutcome delivered(StreamTimings timings) {
        return ServedOutcome.delivered(
                serviceRequest.route(), timings.times(elapsed().toMillis()));
    }

    private Duration elapsed() {
        return Duration.ofMillis(now() - serviceRequest.routed().arrivedAt());
    }

    private String summary(StreamTimings timings, Duration elapsed) {
        String tokens = serviceRequest
                .callerRequest()
                .prompt()
                .map(p -> " tokens=" + p.sharedTokens() + "+" + (p.tokens() - p.sharedTokens()) + ">"
                        + p.maxOutputTokens()
                        + p.expectedOutputTokens().stream()
                                .mapToObj(t -> " expected=" + t)
                                .collect(Collectors.joining()))
                .orElse("");
        return "route=" + serviceRequest.route().name() + tokens + timings + " millis=" + elapsed.toMillis() + " tried="
                + scope;
    }

    private long now() {
        return dispatcher.clock().monotonicMillis();
    }

    /** Logs and counts how a replica goes on with a stream that another one began. */
    void streamContinued(LiveReplica replica, StreamBody.Continuation continuation) {
        dispatcher.metrics().count("hornbeam_streams_continued", "with", continuation.name());
        logger.atInfo()
                .with(Logs.REQUEST, serviceRequest.callerRequest().id())
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "stream continued " + continuation)
                .with(Logs.INPUTS, "route=" + serviceRequest.route().name())
                .log("another replica goes on with the stream");
    }

    /** Logs and counts an answer without a length whose connection the replica closed in order. */
    void endedWithConnection(LiveReplica replica, String replicaState) {
        dispatcher.metrics().count("hornbeam_answers_ended_with_connection", "replica", replicaState);
        logger.atInfo()
                .with(Logs.REQUEST, serviceRequest.callerRequest().id())
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "answer ended with its connection")
                .with(Logs.INPUTS, "replica=" + replicaState)
                .log("the connection ended, and with it an answer without a length");
    }

    /** Records when the response to the caller began. */
    void responseBegan() {
        dispatcher
                .metrics()
                .time(
                        "hornbeam_first_event",
                        elapsed(),
                        "route",
                        serviceRequest.route().name());
    }
}
