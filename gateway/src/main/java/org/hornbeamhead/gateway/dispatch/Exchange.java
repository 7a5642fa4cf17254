package org.hornbeamhead.gateway.dispatch;

import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.hornbeamhead.core.forward.AttemptOutcome;
import org.hornbeamhead.core.forward.FinalResponse;
import org.hornbeamhead.core.forward.ForwardingState;
import org.hornbeamhead.core.forward.NextStep;
import org.hornbeamhead.core.forward.RefusalReason;
import org.hornbeamhead.core.forward.ServedOutcome;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.gateway.caller.CallerResponse;
import org.hornbeamhead.gateway.path.RelayHeaders;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** The handling of one request from its arrival to the final response, over one or more attempts. */
final class Exchange {
    /**
     * The least remaining time for a new attempt. A later one could hardly complete, and would only occupy a slot at a
     * replica.
     */
    private static final long MIN_TIME_LEFT_MILLIS = 20;
    /**
     * The retry delay given to callers whose request no replica could take, about the time in which the queue of a
     * replica turns over.
     */
    static final long RETRY_AFTER_MILLIS = 300;

    private final Dispatcher dispatcher;
    private final ServiceRequest serviceRequest;
    private final CallerResponse response;
    private final ForwardingState forwarding;
    private final ReplicaScope scope;
    private final RequestContent content;
    private final ShortageGate shortage;
    private final long arrivedAt;
    private final long deadline;
    private final StreamProgress progress;
    private final StreamTimings timings = new StreamTimings();
    private final OpenAttempts<Attempt> attempts;
    private final Handover handover;
    private final ExchangeLog log;
    private final FinalAnswer answer;
    private ScheduledRunnable deadlineTimer;
    private int notConnected;
    private boolean finished;

    /**
     * Creates an exchange that is not started yet.
     *
     * @param dispatcher the dispatcher
     * @param serviceRequest the request
     * @param response receives the response
     * @param software the software that began the stream which the request resumes; empty for a new request
     */
    Exchange(
            Dispatcher dispatcher,
            ServiceRequest serviceRequest,
            CallerResponse response,
            Optional<SoftwareVersion> software) {
        this.dispatcher = dispatcher;
        this.serviceRequest = serviceRequest;
        this.response = response;
        this.forwarding = serviceRequest.routed().forwardingState();
        this.content = new RequestContent(serviceRequest, dispatcher.quarantine(), dispatcher.brittleReplicas());
        this.arrivedAt = serviceRequest.routed().arrivedAt();
        this.deadline = serviceRequest.routed().deadline();
        this.progress = new StreamProgress(serviceRequest.callerRequest().lastEventId(), software);
        this.scope = new ReplicaScope(serviceRequest.service().name(), progress);
        this.shortage = new ShortageGate(dispatcher.deferred(), dispatcher.targetSelector(), serviceRequest, scope);
        this.attempts = new OpenAttempts<>(
                dispatcher.reactor(),
                forwarding,
                new OpenAttempts.Operations<>(
                        Attempt::wasSent, Attempt::hasProcessingStarted, a -> 1, Attempt::goOn, Attempt::cancel));
        this.handover = new Handover(
                forwarding, attempts, new Handover.Operations(this::leaveToOthers, this::watchCallerAndDeadline));
        this.log = new ExchangeLog(dispatcher, serviceRequest, scope, content);
        this.answer = new FinalAnswer(dispatcher, serviceRequest, response, forwarding);
    }

    void start() {
        dispatcher.inFlight().add(this);
        watchCallerAndDeadline();
        if (isNew()) {
            shortage.ask(
                    serviceRequest.routed().origin().isEmpty()
                            && content.quarantineMillis().isEmpty(),
                    DeferrableRequest.Outcome.of(
                            this::startNextAttempt,
                            (reason, millis) -> refuseForLoad(RefusalReason.DEFERRED, reason, millis)));
        } else {
            startNextAttempt();
        }
    }

    private void watchCallerAndDeadline() {
        response.onDisconnect(this::callerDisconnected);
        response.onProcessEnd(this::processEnds);
        deadlineTimer = dispatcher.reactor().delayBackground(Math.max(0, timeLeftMillis()), this::deadlineExpired);
    }

    private long timeLeftMillis() {
        return deadline - dispatcher.clock().monotonicMillis();
    }

    private void startNextAttempt() {
        OptionalLong quarantineMillis = content.admitAttempt();
        if (quarantineMillis.isPresent()) {
            if (!attempts.goOnWithSilent()) {
                rejectQuarantined(quarantineMillis.getAsLong());
            }
            return;
        }
        Optional<Target> target = timeLeftMillis() < MIN_TIME_LEFT_MILLIS
                ? Optional.empty()
                : dispatcher.targetSelector().select(serviceRequest, scope, shortage::eligible);
        if (target.isEmpty()) {
            giveUpHere();
            return;
        }
        OptionalLong retryMillis =
                isNew() ? shortage.refusalMillis(target.get(), timeLeftMillis()) : OptionalLong.empty();
        if (retryMillis.isPresent()) {
            refuseForLoad(
                    RefusalReason.ENGINES_BUSY, "the engines are behind: " + target.get(), retryMillis.getAsLong());
            return;
        }
        scope.recordTried(target.get().replica());
        Attempt attempt = new Attempt(this, target.get());
        attempts.add(attempt);
        attempt.start();
    }

    /** Refuses a new request, which no replica has run. */
    private void refuseForLoad(RefusalReason why, String reason, long retryMillis) {
        giveBackQuota();
        finish("REFUSED_FOR_LOAD", Optional.of(ServedOutcome.REFUSED));
        shortage.reject(dispatcher.answers(), response, refusal(why), reason, retryMillis);
    }

    /** Ends a request that no replica can take here. */
    private void giveUpHere() {
        if (canHandOver()) {
            handOver();
        } else {
            giveUp(
                    forwarding.responseAtDeadline(false),
                    unlessOutOfTime(RefusalReason.NO_REPLICA),
                    "no replica can take it",
                    Optional.empty());
        }
    }

    private Refusal refusal(RefusalReason reason) {
        return Refusal.of(serviceRequest.routed(), reason);
    }

    private RefusalReason unlessOutOfTime(RefusalReason reason) {
        return timeLeftMillis() < MIN_TIME_LEFT_MILLIS ? RefusalReason.DEADLINE : reason;
    }

    /** Returns whether nothing of the request was sent yet, and its caller has no part of the response. */
    private boolean isNew() {
        return scope.triedCount() == 0 && progress.software().isEmpty();
    }

    /** Rejects a quarantined request. It is answered at once, since waiting does not change its effect on replicas. */
    private void rejectQuarantined(long millis) {
        String reason = "replicas ended under requests with " + content.describe();
        sendFinalAnswer(forwarding.responseWithoutRetry(), RefusalReason.QUARANTINED, reason, Optional.empty(), millis);
    }

    /**
     * Returns whether an attempt is at a replica, or about to be sent, and no response bytes have shown that it has
     * started.
     */
    boolean isAwaitingStart() {
        return attempts.anyAwaitingStart();
    }

    /** Cancels the attempts that have not started because the request was quarantined after they began. */
    void cancelQuarantined() {
        attempts.cancelAwaitingStart();
        dispatcher.metrics().count("hornbeam_requests_taken_back");
        if (handover.isOpen()) {
            handover.leaveIfAllEnded();
        } else if (attempts.isEmpty()) {
            rejectQuarantined(content.quarantineMillis().orElse(0));
        } else {
            attempts.goOnWithSilent();
        }
    }

    /**
     * Tries another replica beside one that has sent nothing for long.
     *
     * @param silent the attempt there, which stays open
     * @param reason how long it was silent, for the log
     */
    void attemptSilent(Attempt silent, String reason) {
        content.reportLoss(AttemptOutcome.SILENT, silent);
        if (finished || !attempts.isLatest(silent)) {
            return;
        }
        answer.recordLoss(AttemptOutcome.SILENT);
        NextStep step = forwarding.nextStep(AttemptOutcome.SILENT, retryConditions());
        log.attemptEnded(silent, AttemptOutcome.SILENT, reason, step);
        if (step instanceof NextStep.GiveUp) {
            forwarding.attemptGoesOn(1);
            silent.goOn();
        } else {
            attempts.keepLatestAsSilent();
            startNextAttempt();
        }
    }

    ForwardingOptions forwardingOptions(Target target) {
        return new ForwardingOptions(
                target.replica().entry().id(),
                serviceRequest.owner().map(KeyOwner::customer),
                Math.max(1, timeLeftMillis()),
                serviceRequest.enginePriority(),
                target.engineOptions(),
                progress.lastEventId());
    }

    /**
     * Handles the end of an attempt that did not produce a complete response.
     *
     * @param lost the attempt
     * @param end how it ended
     * @param reason why it ended, for the log and the response to the caller
     * @param failure the replica's error response, if it sent one
     */
    void attemptEnded(Attempt lost, AttemptOutcome end, String reason, Optional<BufferedResponse> failure) {
        boolean recorded = attempts.isSilent(lost);
        attempts.remove(lost);
        if (finished) {
            return;
        }
        notConnected += end == AttemptOutcome.NOT_CONNECTED ? 1 : 0;
        answer.recordLoss(end);
        content.reportLoss(end, lost);
        if (finished) {
            return;
        }
        if (recorded) {
            if (!end.mayHaveExecuted()) {
                forwarding.attemptGoesOn(1);
            }
            handover.attemptEnded(end.mayHaveExecuted());
            return;
        }
        NextStep step = forwarding.nextStep(end, retryConditions());
        log.attemptEnded(lost, end, reason, step);
        if (step instanceof NextStep.GiveUp giveUp) {
            if (giveUp.answer() == FinalResponse.NOT_RUN && !forwarding.wasSent() && canHandOver()) {
                handOver();
            } else {
                giveUp(giveUp.answer(), unlessOutOfTime(RefusalReason.REPLICAS_REFUSED), reason, failure);
            }
        } else {
            startNextAttempt();
        }
    }

    private ForwardingState.RetryConditions retryConditions() {
        return new ForwardingState.RetryConditions(
                timeLeftMillis() >= MIN_TIME_LEFT_MILLIS,
                progress.mayGoOnElsewhere() && (dispatcher.targetSelector().hasUntried(scope) || canHandOver()),
                () -> dispatcher.retryBudgets().take(serviceRequest.service().name()));
    }

    /**
     * Returns whether another router may take the request: this host has no path to the service, or could not connect
     * to any replica that it tried. A request is handed over once; a stream that has begun goes on there.
     */
    private boolean canHandOver() {
        boolean unreached = dispatcher.paths().isLost(serviceRequest.service().name())
                || (notConnected > 0 && notConnected == scope.triedCount());
        return unreached
                && !handover.wasStarted()
                && serviceRequest.routed().origin().isEmpty()
                && (!forwarding.hasResponseStarted() || serviceRequest.route().repeatable())
                && timeLeftMillis() >= MIN_TIME_LEFT_MILLIS
                && dispatcher
                        .relayRouters()
                        .isAvailable(serviceRequest.service().name(), Set.of());
    }

    private void handOver() {
        // The deadline is watched by the request at the other routers.
        deadlineTimer.cancel();
        handover.start(new RelayedRequest(
                dispatcher,
                serviceRequest.routed(),
                serviceRequest.service().name(),
                response,
                forwarding.forHandOver(),
                progress,
                timings,
                handover));
    }

    /** Ends the request here; other routers answer it and count it. */
    private void leaveToOthers() {
        giveBackQuota();
        if (!serviceRequest.routed().isRepeat()) {
            dispatcher.retryBudgets().withdrawRequest(serviceRequest.service().name());
        }
        finish("HANDED_OVER", Optional.empty());
    }

    /** Records that an attempt gives the answer: others are cancelled, also at other routers. */
    void attemptAnswered(Attempt attempt) {
        attempts.answered(attempt);
        handover.attemptAnswered();
    }

    private void giveUp(
            FinalResponse finalAnswer, RefusalReason refusal, String reason, Optional<BufferedResponse> failure) {
        if (attempts.goOnWithSilent()) {
            return;
        }
        OptionalLong returnMillis = finalAnswer == FinalResponse.NOT_RUN
                ? dispatcher
                        .targetSelector()
                        .bookReturnMillis(scope, serviceRequest.callerRequest().id())
                : OptionalLong.empty();
        sendFinalAnswer(
                finalAnswer,
                returnMillis.isPresent() ? RefusalReason.NO_REPLICA : refusal,
                returnMillis.isPresent() ? "no replica takes requests now" : reason,
                failure,
                returnMillis.orElse(RETRY_AFTER_MILLIS));
    }

    private void sendFinalAnswer(
            FinalResponse finalAnswer,
            RefusalReason refusal,
            String reason,
            Optional<BufferedResponse> failure,
            long retryAfterMillis) {
        if (finalAnswer == FinalResponse.NOT_RUN) {
            giveBackQuota();
        }
        finish(finalAnswer.name(), Optional.of(ServedOutcome.of(finalAnswer)));
        answer.send(finalAnswer, refusal(refusal), reason, failure, retryAfterMillis);
    }

    private void deadlineExpired() {
        RefusalReason refusal = shortage.isWaiting() ? RefusalReason.DEFERRED : RefusalReason.DEADLINE;
        end(forwarding.responseAtDeadline(attempts.anySent()), refusal, "its time is over", RETRY_AFTER_MILLIS);
    }

    private void processEnds() {
        end(
                forwarding.responseAtEndOfProcess(attempts.anySent()),
                RefusalReason.STOPPING,
                "the router is about to end",
                Dispatcher.OTHER_ROUTER_RETRY_MILLIS);
    }

    private void end(FinalResponse finalAnswer, RefusalReason refusal, String reason, long retryAfterMillis) {
        if (!finished) {
            stopAttempts();
            sendFinalAnswer(finalAnswer, refusal, reason, Optional.empty(), retryAfterMillis);
        }
    }

    private void callerDisconnected() {
        if (!finished) {
            if (forwarding.responseAtDeadline(attempts.anySent()) == FinalResponse.NOT_RUN) {
                giveBackQuota();
            }
            stopAttempts();
            finish("CALLER_GONE", Optional.of(ServedOutcome.CALLER_GONE));
        }
    }

    /** Takes back what the request counts in its customer's quota, since no replica has run it. */
    private void giveBackQuota() {
        serviceRequest.giveBackQuota(dispatcher.quotas());
    }

    private void stopAttempts() {
        // The report of a silent replica may quarantine this request, which cancels the attempts in progress.
        List<Attempt> stopped = attempts.removeAll();
        stopped.stream().filter(Attempt::isSilent).forEach(content::reportSilence);
        stopped.forEach(Attempt::cancel);
    }

    /** Sends the response head to the caller, unless it was sent already. */
    void beginResponse(ResponseHead head, LiveReplica replica) {
        if (!forwarding.hasResponseStarted()) {
            forwarding.responseStarted();
            timings.recordFirst(dispatcher.clock().monotonicMillis() - arrivedAt);
            response.begin(head.status(), responseHeaders(head, replica));
            log.responseBegan();
        }
    }

    /** Returns the headers for the caller, or for the router that handed the request over. */
    Headers responseHeaders(ResponseHead head, LiveReplica replica) {
        Headers headers = dispatcher.headerCodec().callerHeaders(head);
        return serviceRequest.routed().origin().isPresent()
                ? RelayHeaders.withAuthor(headers, replica.entry().run(), progress.software())
                : headers;
    }

    /** Records that events of a replica are about to be relayed to the caller. */
    void recordRelay(LiveReplica replica) {
        if (!progress.mayGoOnAt(replica.software())) {
            dispatcher.metrics().count("hornbeam_streams_mixed");
        }
        if (progress.recordSoftware(replica.software())
                && serviceRequest.route().resumable()) {
            dispatcher.resumptions().streamBegan(serviceRequest, replica.software());
        }
        timings.recordEvents(dispatcher.clock().monotonicMillis());
    }

    ExchangeLog log() {
        return log;
    }

    RequestContent content() {
        return content;
    }

    void responseDelivered(String outcome) {
        attempts.removeAll();
        finish(outcome, Optional.of(log.delivered(timings)));
    }

    private void finish(String outcome, Optional<ServedOutcome> served) {
        finished = true;
        dispatcher.inFlight().remove(this);
        if (serviceRequest.route().resumable()) {
            dispatcher.resumptions().streamEnded(serviceRequest);
        }
        deadlineTimer.cancel();
        log.requestEnded(outcome, served, timings);
        stopAttempts();
        shortage.requestEnded();
    }

    boolean hasResponseStarted() {
        return forwarding.hasResponseStarted();
    }

    ServiceRequest serviceRequest() {
        return serviceRequest;
    }

    CallerResponse response() {
        return response;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    OpenAttempts<Attempt> attempts() {
        return attempts;
    }

    StreamProgress progress() {
        return progress;
    }

    /** Returns whether another replica may run the request if this attempt stays silent, now or once one is listed. */
    boolean canRetry() {
        return forwarding.allowsAttemptAfterThis() && progress.mayGoOnElsewhere();
    }

    /** Returns whether the request could be sent to another replica at this moment. */
    boolean canRetryNow() {
        return canRetry()
                && timeLeftMillis() >= MIN_TIME_LEFT_MILLIS
                && content.quarantineMillis().isEmpty()
                && dispatcher
                        .retryBudgets()
                        .isAvailable(serviceRequest.service().name())
                && (canHandOver()
                        || dispatcher
                                .targetSelector()
                                .select(serviceRequest, scope)
                                .isPresent());
    }
}
