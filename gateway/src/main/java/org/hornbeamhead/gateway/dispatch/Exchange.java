package org.hornbeamhead.gateway.dispatch;

import com.google.common.flogger.FluentLogger;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.hornbeamhead.core.crash.LostRun;
import org.hornbeamhead.core.crash.RequestFingerprint;
import org.hornbeamhead.core.engine.EngineAdmission;
import org.hornbeamhead.core.forward.AttemptEnd;
import org.hornbeamhead.core.forward.FinalAnswer;
import org.hornbeamhead.core.forward.Forwarding;
import org.hornbeamhead.core.forward.NextStep;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.core.route.RequestKind;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.caller.CallerAnswer;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** One caller's request from its arrival to its final answer, over one or more tries. */
final class Exchange {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** A try that starts with less time left can hardly end; it would only take a place at a replica. */
    private static final long MIN_TIME_LEFT_MILLIS = 20;
    /** When a request that no replica could take is worth another try: a replica's queue turns over in about this. */
    private static final long RETRY_AFTER_MILLIS = 300;

    private static final long NO_DEADLINE_MILLIS = 60_000;

    private final Dispatcher dispatcher;
    private final Subject subject;
    private final CallerAnswer answer;
    private final Forwarding forwarding;
    private final Set<String> tried = new HashSet<>();
    private final long arrivedAt;
    private final long deadline;
    private final StreamProgress progress;
    private final StreamTimes times = new StreamTimes();
    private ScheduledRunnable deadlineTimer;
    private Attempt attempt;
    private Optional<RequestFingerprint> fingerprint = Optional.empty();
    private boolean over;

    Exchange(Dispatcher dispatcher, Subject subject, CallerAnswer answer) {
        this.dispatcher = dispatcher;
        this.subject = subject;
        this.answer = answer;
        this.forwarding = new Forwarding(subject.route());
        this.arrivedAt = subject.asked().arrivedAt();
        this.deadline = arrivedAt + allowedMillis(subject);
        this.progress = new StreamProgress(subject.request().lastEvent());
    }

    private static long allowedMillis(Subject s) {
        long caller = s.request().timeLeftMillis().orElse(NO_DEADLINE_MILLIS);
        long route = s.route().limits().timeoutMillis();
        return route > 0 ? Math.min(caller, route) : caller;
    }

    void start() {
        dispatcher.underWay().began(this);
        answer.onGone(this::callerGone);
        deadlineTimer = dispatcher.reactor().delayBackground(Math.max(0, timeLeft()), this::timeIsOver);
        tryNext();
    }

    private long timeLeft() {
        return deadline - dispatcher.clock().monotonicMillis();
    }

    private void tryNext() {
        OptionalLong held = dispatcher.quarantine().heldMillis(this::fingerprint);
        if (held.isPresent()) {
            holdBack(held.getAsLong());
            return;
        }
        Optional<Target> target = timeLeft() < MIN_TIME_LEFT_MILLIS
                ? Optional.empty()
                : dispatcher
                        .picker()
                        .pick(subject.config(), subject.service(), subject.request(), subject.owner(), tried);
        if (target.isEmpty()) {
            giveUp(forwarding.atDeadline(false), "no replica can take it", Optional.empty(), RETRY_AFTER_MILLIS);
            return;
        }
        OptionalLong comeBack = tried.isEmpty() ? admission(target.get()) : OptionalLong.empty();
        if (comeBack.isPresent()) {
            finish("REFUSED_FOR_LOAD");
            dispatcher.refuseUnrun(
                    subject.request(), answer, "the engines are behind: " + target.get(), comeBack.getAsLong());
            return;
        }
        tried.add(target.get().replica().entry().run());
        attempt = new Attempt(this, target.get());
        attempt.start();
    }

    /** Replicas ended under the request. It is answered at once: waiting does not change what it does to a replica. */
    private void holdBack(long millis) {
        String why = "replicas ended under requests with content " + fingerprint();
        giveUp(forwarding.withoutAnotherTry(), why, Optional.empty(), millis);
    }

    /** Whether a replica has the request, or is about to get it, and has sent nothing that shows that it has begun. */
    boolean awaits(RequestFingerprint content) {
        return attempt != null && !attempt.hasBegun() && fingerprint().equals(content);
    }

    /** The request is held back since it was sent. */
    void takeBack() {
        if (attempt.wasSent()) {
            forwarding.takenBack();
        }
        attempt.abandon();
        attempt = null;
        dispatcher.metrics().count("hornbeam_requests_taken_back");
        holdBack(dispatcher.quarantine().heldMillis(this::fingerprint).orElse(0));
    }

    private OptionalLong admission(Target target) {
        return target.choice()
                .map(c -> EngineAdmission.retryAfterMillis(
                        c, subject.route().limits().targetMillis(), timeLeft()))
                .orElse(OptionalLong.empty());
    }

    SendOrder orderFor(Target target) {
        int priority = subject.owner()
                .map(KeyOwner::priority)
                .orElse(OptionalInt.empty())
                .orElse(subject.route().priority());
        return new SendOrder(
                target.replica().entry().id(),
                subject.owner().map(KeyOwner::customer),
                Math.max(1, timeLeft()),
                priority,
                target.engine(),
                progress.lastEvent());
    }

    /**
     * A try ended without a whole answer.
     *
     * @param end how
     * @param why for the log
     * @param failure the replica's own failure, if it gave one
     */
    void attemptEnded(AttemptEnd end, String why, Optional<BufferedAnswer> failure) {
        LiveReplica replica = attempt.target().replica();
        long sentAt = attempt.sentAt();
        attempt = null;
        if (over) {
            return;
        }
        Forwarding.Means means = new Forwarding.Means(
                timeLeft() >= MIN_TIME_LEFT_MILLIS,
                dispatcher.picker().anyLeft(subject.service(), tried),
                () -> dispatcher.takeRepeat(subject.service().name()));
        witness(end, replica, sentAt);
        NextStep step = forwarding.after(end, means);
        dispatcher.metrics().count("hornbeam_attempts_failed", "end", end.name());
        logger.atInfo()
                .with(Logs.REQUEST, subject.request().id())
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "attempt " + end)
                .with(Logs.REASON, why)
                .with(Logs.INPUTS, inputs(end) + " next=" + step)
                .log("attempt ended: %s", end);
        if (step instanceof NextStep.GiveUp end2) {
            giveUp(end2.answer(), why, failure, RETRY_AFTER_MILLIS);
        } else {
            tryNext();
        }
    }

    private void witness(AttemptEnd end, LiveReplica replica, long sentAt) {
        if (end == AttemptEnd.BROKEN) {
            dispatcher.quarantine().broken(lostRun(sentAt), replica);
        } else if (end == AttemptEnd.SILENT) {
            dispatcher.quarantine().silent(lostRun(sentAt), replica);
        }
    }

    private LostRun lostRun(long sentAt) {
        return new LostRun(fingerprint(), sentAt, dispatcher.clock().monotonicMillis());
    }

    private String inputs(AttemptEnd end) {
        String content = end.mayHaveRun() ? " content=" + fingerprint() : "";
        return "millisLeft=" + timeLeft() + " tried=" + tried.size() + content;
    }

    /** Names the request by its content. Few requests need it, so it is computed at its first use. */
    private RequestFingerprint fingerprint() {
        if (fingerprint.isEmpty()) {
            fingerprint = Optional.of(RequestFingerprint.of(
                    subject.request().whole().head().target(),
                    subject.owner().map(KeyOwner::customer).orElse(""),
                    subject.request().whole().body()));
        }
        return fingerprint.get();
    }

    private void giveUp(FinalAnswer last, String why, Optional<BufferedAnswer> failure, long retryAfterMillis) {
        finish(last.name());
        if (last == FinalAnswer.BROKEN_OFF) {
            answer.abort();
        } else if (last == FinalAnswer.REPLICA_FAILURE && failure.isPresent()) {
            failure.get().deliver(answer);
        } else if (last == FinalAnswer.NOT_RUN) {
            dispatcher.refuseUnrun(subject.request(), answer, why, retryAfterMillis);
        } else {
            dispatcher.answer(subject.request(), answer, statusOf(last), why, Headers.NONE);
        }
    }

    private static int statusOf(FinalAnswer last) {
        return last.status() == 0 ? FinalAnswer.OUTCOME_UNKNOWN.status() : last.status();
    }

    private void timeIsOver() {
        if (over) {
            return;
        }
        FinalAnswer last = forwarding.atDeadline(attempt != null && attempt.wasSent());
        stopAttempt();
        giveUp(last, "its time is over", Optional.empty(), RETRY_AFTER_MILLIS);
    }

    private void callerGone() {
        if (!over) {
            stopAttempt();
            finish("CALLER_GONE");
        }
    }

    private void stopAttempt() {
        if (attempt != null) {
            if (attempt.isSilent()) {
                dispatcher
                        .quarantine()
                        .silent(lostRun(attempt.sentAt()), attempt.target().replica());
            }
            attempt.abandon();
            attempt = null;
        }
    }

    /** The answer's first bytes go to the caller. */
    void begin(ResponseHead head) {
        if (!forwarding.hasBegun()) {
            forwarding.answerBegan();
            times.began(sinceArrival().toMillis());
            answer.begin(head.status(), dispatcher.dialect().toCaller(head));
            dispatcher
                    .metrics()
                    .time(
                            "hornbeam_first_event",
                            sinceArrival(),
                            "route",
                            subject.route().name());
        }
    }

    /** Events go to the caller. */
    void relayed() {
        times.relayed(dispatcher.clock().monotonicMillis());
    }

    /** A replica ran the request to its end. Its own failure would not show that: it may fail before it begins. */
    void completed() {
        dispatcher.quarantine().completed(this::fingerprint);
    }

    void delivered(String how) {
        attempt = null;
        finish(how);
    }

    private void finish(String how) {
        over = true;
        dispatcher.underWay().ended(this);
        deadlineTimer.cancel();
        dispatcher
                .metrics()
                .time(
                        "hornbeam_requests",
                        sinceArrival(),
                        "route",
                        subject.route().name(),
                        "outcome",
                        how);
        logger.atInfo()
                .with(Logs.REQUEST, subject.request().id())
                .with(Logs.DECISION, "ended " + how)
                .with(Logs.INPUTS, course())
                .log("request ended: %s", how);
    }

    /** What the request was and how it went, for the log. */
    private String course() {
        String tokens = subject.request()
                .prompt()
                .map(p -> " tokens=" + p.sharedTokens() + "+" + (p.tokens() - p.sharedTokens()) + ">"
                        + p.maxOutputTokens())
                .orElse("");
        return "route=" + subject.route().name() + tokens + times + " millis="
                + sinceArrival().toMillis() + " tried=" + tried;
    }

    private Duration sinceArrival() {
        return Duration.ofMillis(dispatcher.clock().monotonicMillis() - arrivedAt);
    }

    boolean isOver() {
        return over;
    }

    boolean streams() {
        return subject.route().kind() == RequestKind.STREAM;
    }

    Subject subject() {
        return subject;
    }

    CallerAnswer answer() {
        return answer;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    StreamProgress progress() {
        return progress;
    }

    /** Whether another replica may run the request after this try has been silent. */
    boolean mayTryAgain() {
        return subject.route().repeatable()
                && forwarding.possibleRuns() + 1 < subject.route().limits().maxAttempts()
                && dispatcher.picker().anyLeft(subject.service(), tried);
    }

    /** Whether the request could be sent to another replica at this moment. */
    boolean canMove() {
        return mayTryAgain()
                && timeLeft() >= MIN_TIME_LEFT_MILLIS
                && dispatcher.quarantine().heldMillis(this::fingerprint).isEmpty()
                && dispatcher.mayRepeat(subject.service().name())
                && dispatcher
                        .picker()
                        .pick(subject.config(), subject.service(), subject.request(), subject.owner(), tried)
                        .isPresent();
    }
}
