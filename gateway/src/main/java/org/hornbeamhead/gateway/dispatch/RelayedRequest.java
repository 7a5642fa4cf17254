package org.hornbeamhead.gateway.dispatch;

import com.google.common.flogger.FluentLogger;
import io.activej.promise.Promise;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hornbeamhead.core.forward.AttemptOutcome;
import org.hornbeamhead.core.forward.FinalResponse;
import org.hornbeamhead.core.forward.ForwardingState;
import org.hornbeamhead.core.forward.NextStep;
import org.hornbeamhead.core.forward.RefusalReason;
import org.hornbeamhead.core.forward.ServedOutcome;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.caller.CallerResponse;
import org.hornbeamhead.gateway.path.RelayHeaders;
import org.hornbeamhead.gateway.path.RelayRouters;

/**
 * A request that this router hands to another router, since this host has no path to the replicas of its service.
 *
 * <p>The other router does everything for the request as if the caller had connected there; its answer is passed on
 * unchanged. It never hands the request on. If it breaks off a stream that may be resumed, a third router goes on after
 * the last event that the caller got. If it sends nothing for long, a third router is tried beside it. A silent attempt
 * of this router stays open meanwhile; the first that answers is delivered.
 */
final class RelayedRequest {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The least remaining time for handing a request over. */
    private static final long MIN_TIME_LEFT_MILLIS = 20;
    /** How long after the deadline the answer of the other router, which is exact, is awaited. */
    private static final long DEADLINE_MARGIN_MILLIS = 100;

    private static final long RETRY_AFTER_MILLIS = 500;

    private final Dispatcher dispatcher;
    private final RoutedRequest routed;
    private final String service;
    private final CallerResponse response;
    private final ForwardingState forwarding;
    private final long deadline;
    private final StreamProgress progress;
    private final StreamTimings timings;
    private final SilentAttempt silentAttempt;
    private final int executionsBefore;
    private final Set<String> tried = new HashSet<>();
    private final OpenAttempts<RelayHop> hops;
    private ScheduledRunnable deadlineTimer;
    private boolean finished;

    /** An attempt of this router that fell silent before the request was handed over, and may still answer. */
    interface SilentAttempt {
        /** No attempt. */
        SilentAttempt NONE = new SilentAttempt() {
            @Override
            public boolean goOn(int executions) {
                return false;
            }

            @Override
            public void close() {
                // Nothing is open.
            }
        };

        /**
         * Waits for it alone, since no other router has an answer for the caller.
         *
         * @param executions how many executions the request may stand for at other routers
         * @return false if the attempt is not open
         */
        boolean goOn(int executions);

        /** Closes it, since the request ends elsewhere. */
        void close();
    }

    /**
     * Creates a request that is not handed over yet.
     *
     * @param dispatcher the dispatcher
     * @param routed the request
     * @param service the service of its route
     * @param response receives the answer
     * @param forwarding what attempts of this router may have been executed, and whether the response has begun
     * @param progress the last event that was relayed to the caller
     * @param timings the timings of the events that were relayed to the caller
     * @param silentAttempt the attempt of this router that may still answer
     */
    RelayedRequest(
            Dispatcher dispatcher,
            RoutedRequest routed,
            String service,
            CallerResponse response,
            ForwardingState forwarding,
            StreamProgress progress,
            StreamTimings timings,
            SilentAttempt silentAttempt) {
        this.dispatcher = dispatcher;
        this.routed = routed;
        this.service = service;
        this.response = response;
        this.forwarding = forwarding;
        this.progress = progress;
        this.timings = timings;
        this.silentAttempt = silentAttempt;
        this.executionsBefore = forwarding.possibleExecutions();
        this.deadline = routed.deadline();
        this.hops = new OpenAttempts<>(
                dispatcher.reactor(),
                forwarding,
                new OpenAttempts.Operations<>(
                        RelayHop::wasSent,
                        RelayHop::hasAnswered,
                        RelayHop::executions,
                        RelayHop::goOn,
                        RelayHop::cancel));
    }

    /** Creates the relay of a request of which this router has sent nothing. */
    static RelayedRequest ofUnsent(
            Dispatcher dispatcher, RoutedRequest routed, String service, CallerResponse response) {
        return new RelayedRequest(
                dispatcher,
                routed,
                service,
                response,
                new ForwardingState(routed.route()),
                new StreamProgress(routed.callerRequest().lastEventId(), Optional.empty()),
                new StreamTimings(),
                SilentAttempt.NONE);
    }

    void start() {
        response.onDisconnect(this::callerDisconnected);
        response.onProcessEnd(this::processEnds);
        deadlineTimer = dispatcher
                .reactor()
                .delayBackground(Math.max(0, timeLeftMillis()) + DEADLINE_MARGIN_MILLIS, this::deadlineExpired);
        sendToNext();
    }

    private long timeLeftMillis() {
        return deadline - dispatcher.clock().monotonicMillis();
    }

    private void sendToNext() {
        Optional<RelayRouters.Peer> peer = timeLeftMillis() < MIN_TIME_LEFT_MILLIS
                ? Optional.empty()
                : dispatcher.relayRouters().select(service, tried);
        if (peer.isEmpty()) {
            if (!goOnWithSilent()) {
                sendOwnAnswer(
                        forwarding.responseWithoutRetry(), RefusalReason.NO_PATH, "no router has a path to " + service);
            }
            return;
        }
        tried.add(peer.get().address());
        int executions = forwarding.allowance(dispatcher.relayRouters().isAvailable(service, tried));
        RelayHop hop = new RelayHop(dispatcher, this, peer.get(), executions);
        hops.add(hop);
        hop.start();
    }

    /** Returns the bytes to send to another router. */
    byte[] message(RelayHop hop) {
        log(
                "handed over",
                "no path to " + service,
                hop,
                "executions=" + forwarding.possibleExecutions() + " allowed=" + hop.executions());
        CallerRequest request = routed.callerRequest();
        Headers headers = RelayHeaders.withOrigin(
                dispatcher.headerCodec().relayHeaders(request, Math.max(1, timeLeftMillis()), progress.lastEventId()),
                new RelayHeaders.Origin(
                        routed.config().version(),
                        forwarding.possibleExecutions(),
                        hop.executions(),
                        progress.software()));
        return RequestMessage.encode(request.message(), headers);
    }

    private ForwardingState.RetryConditions retryConditions(boolean mayGoOn) {
        return new ForwardingState.RetryConditions(
                timeLeftMillis() >= MIN_TIME_LEFT_MILLIS,
                mayGoOn
                        && progress.mayGoOnElsewhere()
                        && dispatcher.relayRouters().isAvailable(service, tried),
                () -> dispatcher.retryBudgets().take(service));
    }

    /**
     * Tries a third router beside one that has sent nothing for long.
     *
     * @param hop the request there, which stays open
     * @param reason how long it was silent, for the log
     */
    void hopSilent(RelayHop hop, String reason) {
        if (!hops.isLatest(hop)) {
            return;
        }
        NextStep step = forwarding.nextStep(AttemptOutcome.SILENT, hop.executions(), retryConditions(true));
        log("handover " + AttemptOutcome.SILENT, reason, hop, "next=" + step);
        if (step instanceof NextStep.GiveUp) {
            forwarding.attemptGoesOn(hop.executions());
            hop.goOn();
        } else {
            hops.keepLatestAsSilent();
            sendToNext();
        }
    }

    /**
     * Handles the end of a hop that gave no answer for the caller.
     *
     * @param hop the request at the other router
     * @param outcome how it ended
     * @param reason why it ended, for the log and the response to the caller
     * @param answer the failure or the rejection that the other router sent, if any
     */
    void hopEnded(RelayHop hop, AttemptOutcome outcome, String reason, Optional<RelayAnswer> answer) {
        boolean recorded = hops.isSilent(hop);
        hops.remove(hop);
        if (recorded) {
            log("handover " + outcome, reason, hop, "another router was asked");
            if (!outcome.mayHaveExecuted()) {
                forwarding.attemptGoesOn(hop.executions());
            }
            return;
        }
        NextStep step =
                forwarding.nextStep(outcome, hop.executions(), retryConditions(outcome != AttemptOutcome.REFUSED));
        log("handover " + outcome, reason, hop, "next=" + step);
        if (!(step instanceof NextStep.GiveUp giveUp)) {
            sendToNext();
        } else if (!goOnWithSilent()) {
            answer.ifPresentOrElse(this::passOn, () -> sendOwnAnswer(giveUp.answer(), RefusalReason.NO_PATH, reason));
        }
    }

    private boolean goOnWithSilent() {
        if (hops.goOnWithSilent()) {
            return true;
        }
        if (!silentAttempt.goOn(forwarding.possibleExecutions() - executionsBefore)) {
            return false;
        }
        release("RETURNED");
        return true;
    }

    /**
     * Cancels the request at other routers, since the silent attempt of this router has answered.
     *
     * @return how many executions the request may stand for there
     */
    int withdraw() {
        hops.cancelAll();
        release("WITHDRAWN");
        return forwarding.possibleExecutions() - executionsBefore;
    }

    /** Records that the silent attempt of this router has not run after all. */
    void silentAttemptRefused() {
        forwarding.attemptGoesOn(1);
    }

    /** Handles a complete answer of another router. */
    void answered(RelayHop hop, RelayAnswer answer) {
        String reason = "the router answered " + answer.head().status();
        if (answer.streaming()) {
            hops.remove(hop);
            finish("DELIVERED", Optional.of(delivered()));
            response.end();
        } else if (answer.kind() == RelayAnswer.Kind.DECLINED) {
            hopEnded(hop, AttemptOutcome.NOT_SENT, "the router declined it", Optional.empty());
        } else if (forwarding.hasResponseStarted()) {
            hopEnded(hop, AttemptOutcome.BROKEN, "the router cannot go on with the stream", Optional.empty());
        } else if (answer.kind() == RelayAnswer.Kind.DELIVERABLE) {
            hops.answered(hop);
            hops.remove(hop);
            passOn(answer);
        } else {
            hopEnded(hop, answer.kind().outcome(), reason, Optional.of(answer));
        }
    }

    private void passOn(RelayAnswer answer) {
        if (answer.promisesNotRun() && forwarding.possibleExecutions() > 0) {
            sendOwnAnswer(FinalResponse.OUTCOME_UNKNOWN, RefusalReason.NO_PATH, "another router may have run it");
            return;
        }
        finish("DELIVERED", servedBy(answer));
        answer.body().sendTo(response);
    }

    /** Returns the outcome of a request with an answer that is passed on; empty if it is an error of the caller. */
    private Optional<ServedOutcome> servedBy(RelayAnswer answer) {
        return switch (answer.kind()) {
            case DELIVERABLE -> Optional.of(delivered());
            case REJECTED, DECLINED -> answer.promisesNotRun() ? Optional.of(ServedOutcome.REFUSED) : Optional.empty();
            case REPLICA_FAILED, LOST -> Optional.of(ServedOutcome.FAILED);
        };
    }

    private ServedOutcome delivered() {
        return ServedOutcome.delivered(routed.route(), timings.times(elapsedMillis()));
    }

    private long elapsedMillis() {
        return dispatcher.clock().monotonicMillis() - routed.arrivedAt();
    }

    /**
     * Begins to relay a stream.
     *
     * @param hop the request at the router that sends it
     * @param answer the head of its answer
     * @return false if the stream has begun and cannot go on with this one
     */
    boolean streamAnswered(RelayHop hop, RelayAnswer answer) {
        Optional<SoftwareVersion> software = RelayHeaders.software(answer.head().headers());
        if (forwarding.hasResponseStarted()
                && software.filter(progress::mayGoOnAt).isEmpty()) {
            return false;
        }
        hops.answered(hop);
        silentAttempt.close();
        if (!forwarding.hasResponseStarted()) {
            forwarding.responseStarted();
            timings.recordFirst(elapsedMillis());
            response.begin(answer.head().status(), answer.callerHeaders());
        }
        software.ifPresent(progress::recordSoftware);
        return true;
    }

    /** Relays events of a stream. A hop that sends new ones keeps the stream, also if it was silent before. */
    Promise<Void> relay(RelayHop hop, byte[] newEvents) {
        if (newEvents.length == 0) {
            return Promise.complete();
        }
        hops.answered(hop);
        timings.recordEvents(dispatcher.clock().monotonicMillis());
        return response.write(newEvents);
    }

    StreamProgress progress() {
        return progress;
    }

    private void sendOwnAnswer(FinalResponse answer, RefusalReason refusal, String reason) {
        finish(answer.name(), Optional.of(ServedOutcome.of(answer)));
        CallerRequest request = routed.callerRequest();
        switch (answer) {
            case BROKEN_OFF -> response.abort();
            case NOT_RUN -> dispatcher
                    .answers()
                    .rejectNotExecuted(request, response, Refusal.of(routed, refusal), reason, RETRY_AFTER_MILLIS);
            default -> dispatcher
                    .answers()
                    .respond(
                            request,
                            response,
                            (answer.status() == 0 ? FinalResponse.OUTCOME_UNKNOWN : answer).status(),
                            reason,
                            Headers.NONE);
        }
    }

    private void deadlineExpired() {
        if (!finished) {
            FinalResponse answer = forwarding.responseAtDeadline(hops.anySent());
            sendOwnAnswer(answer, RefusalReason.DEADLINE, "its time is over");
        }
    }

    private void processEnds() {
        if (!finished) {
            FinalResponse answer = forwarding.responseAtEndOfProcess(hops.anySent());
            sendOwnAnswer(answer, RefusalReason.STOPPING, "the router is about to end");
        }
    }

    private void callerDisconnected() {
        if (!finished) {
            finish("CALLER_GONE", Optional.of(ServedOutcome.CALLER_GONE));
        }
    }

    private void finish(String outcome, Optional<ServedOutcome> served) {
        served.ifPresent(s -> routed.countServed(s, dispatcher.metrics()));
        release(outcome);
        silentAttempt.close();
    }

    /** Ends the request at other routers; it is counted by whoever answers the caller. */
    private void release(String outcome) {
        finished = true;
        deadlineTimer.cancel();
        hops.removeAll().forEach(RelayHop::cancel);
        dispatcher.metrics().count("hornbeam_requests_handed_over", "outcome", outcome);
        logger.atInfo()
                .with(Logs.REQUEST, routed.callerRequest().id())
                .with(Logs.DECISION, "ended " + outcome)
                .with(Logs.INPUTS, "route=" + routed.route().name() + " routers=" + tried)
                .log("request handed over ended: %s", outcome);
    }

    private void log(String decision, String reason, RelayHop hop, String inputs) {
        logger.atInfo()
                .with(Logs.REQUEST, routed.callerRequest().id())
                .with(Logs.DECISION, decision)
                .with(Logs.REASON, reason)
                .with(Logs.INPUTS, "router=" + hop.address() + " millisLeft=" + timeLeftMillis() + " " + inputs)
                .log("%s", decision);
    }

    CallerRequest callerRequest() {
        return routed.callerRequest();
    }

    String id() {
        return routed.callerRequest().id();
    }

    String method() {
        return routed.callerRequest().message().head().method();
    }

    Route route() {
        return routed.route();
    }
}
