package org.hornbeamhead.gateway.dispatch;

import io.activej.promise.Promise;
import java.util.Optional;
import org.hornbeamhead.core.crash.LostAttempt;
import org.hornbeamhead.core.forward.AttemptOutcome;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.stream.CorruptStreamException;
import org.hornbeamhead.gateway.path.ReplicaPaths;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.NoConnectionException;
import org.hornbeamhead.gateway.replica.ReplicaConnection;
import org.hornbeamhead.gateway.replica.ReplicaConnectionPool.Check;
import org.hornbeamhead.gateway.replica.ResponseListener;

/** One attempt to run a request at one replica. */
final class Attempt implements ResponseListener {
    /**
     * The longest idle time of a reused connection; the replica may close one that was idle for longer just as the
     * request is written.
     */
    private static final long MAX_IDLE_MILLIS = 1_000;

    /** The longest idle time of a reused connection for requests that may be retried. */
    private static final long MAX_IDLE_RETRYABLE_MILLIS = 5_000;
    /**
     * The lowest connection limit, however many routers share the limit of the service. It allows a request to follow
     * one whose connection has just become silent.
     */
    private static final int MIN_CONNECTIONS = 2;
    /** The lowest status that reports a failure of the replica itself (5xx). */
    private static final int MIN_SERVER_ERROR = 500;
    /** The status with which a replica turns a request away that it has no room for. */
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Exchange exchange;
    private final Target target;
    private final LiveReplica replica;
    private final StreamBody streamBody;
    private final AttemptTimers timers;
    private final AttemptRequest request;
    private final AnswerSurvival survival;
    private final SilenceWatch silence;
    private ReplicaConnection connection;
    private ResponseHead head;
    private ReplicaResponseInfo responseInfo;
    private BufferedResponse buffered;
    private boolean streaming;
    private boolean sent;
    private long sentAt;
    private boolean ended;

    Attempt(Exchange exchange, Target target) {
        this.exchange = exchange;
        this.target = target;
        this.replica = target.replica();
        this.request = new AttemptRequest(exchange, target);
        this.streamBody = new StreamBody(exchange.progress());
        this.timers = new AttemptTimers(exchange.dispatcher().reactor());
        this.survival = new AnswerSurvival(
                exchange.dispatcher().reactor(), exchange.dispatcher().clock(), exchange.content());
        this.silence = new SilenceWatch(exchange, this, timers);
    }

    Target target() {
        return target;
    }

    /** Returns whether the request was written to a connection. */
    boolean wasSent() {
        return sent;
    }

    /** Returns whether the replica has started to process the request, as far as is known. */
    boolean hasProcessingStarted() {
        return survival.startedAt().isPresent();
    }

    /** Returns when the request was sent, in milliseconds of the monotonic clock; meaningful only if it was sent. */
    long sentAt() {
        return sentAt;
    }

    /** Describes the loss of this attempt at its replica, which may have ended. */
    LostAttempt lost() {
        return new LostAttempt(exchange.content().fingerprint(), sentAt, survival.startedAt(), now());
    }

    /** Returns whether the request was sent and nothing has been received for longer than the silence threshold. */
    boolean isSilent() {
        return sent && !ended && silence.isSilent();
    }

    /** Waits on for the replica after it was silent. */
    void goOn() {
        silence.goOn("no other replica has taken over");
    }

    void start() {
        Route route = exchange.serviceRequest().route();
        long maxIdle = route.repeatable() ? MAX_IDLE_RETRYABLE_MILLIS : MAX_IDLE_MILLIS;
        int maxConnections = Math.max(
                MIN_CONNECTIONS,
                exchange.dispatcher()
                        .localShare(exchange.serviceRequest().service().maxConnections()));
        request.recordSent();
        replica.connections().acquire(maxIdle, maxConnections).subscribe((acquired, e) -> {
            if (ended) {
                if (acquired != null) {
                    replica.connections().release(acquired);
                }
            } else if (e != null) {
                endWithoutConnection(e);
            } else if (request.hasExpiredWeights()) {
                replica.connections().release(acquired);
                end(AttemptOutcome.NOT_SENT, "weights went out of use while it connected", Optional.empty());
            } else {
                sendIfAvailable(acquired);
            }
        });
    }

    private void endWithoutConnection(Exception e) {
        replica.guard().recordConnectFailure(now());
        boolean refused = !(e instanceof NoConnectionException);
        if (refused) {
            exchange.dispatcher().paths().recordFailure(replica, ReplicaPaths.Failure.NOT_CONNECTED);
        }
        end(
                refused ? AttemptOutcome.NOT_CONNECTED : AttemptOutcome.NOT_SENT,
                "no connection: " + e.getMessage(),
                Optional.empty());
    }

    /** Sends the request unless the replica became unavailable while the connection was opened. */
    private void sendIfAvailable(ReplicaConnection acquired) {
        exchange.dispatcher()
                .availability()
                .checkPlaced(replica)
                .ifPresentOrElse(
                        reason -> {
                            replica.connections().release(acquired);
                            end(AttemptOutcome.NOT_SENT, reason + " while it connected", Optional.empty());
                        },
                        () -> send(acquired));
    }

    private void send(ReplicaConnection acquired) {
        connection = acquired;
        sent = true;
        sentAt = now();
        exchange.dispatcher().replicaLimits().recordSend(replica);
        ForwardingOptions options = exchange.forwardingOptions(target);
        streamBody.requested();
        request.logSent(options);
        silence.start(request.silenceTimeouts());
        request.modelVersion()
                .ifPresent(v -> timers.setWeightsWatch(
                        exchange.dispatcher().weightsExpiry().watch(v, this::cancelExpired)));
        acquired.send(request.message(options), request.method(), request::matchesResponse, this);
        if (exchange.serviceRequest().isStreaming()) {
            exchange.attempts().limitOverlap();
        }
    }

    /**
     * Cancels the attempt when the weights expire before the request has started: it must not start on them any more,
     * even if this wastes work. The replica is not at fault, and may have started a moment ago.
     */
    private void cancelExpired() {
        connection.close();
        end(AttemptOutcome.SILENT, "not begun when the weights went out of use", Optional.empty());
    }

    @Override
    public void onHead(ResponseHead received) {
        silence.recordContact();
        head = received;
        responseInfo = exchange.dispatcher()
                .statements()
                .observe(replica, received, sentAt, exchange.serviceRequest().callerRequest());
        if (!responseInfo.isAttributable()
                || (received.ok() && responseInfo.requestId().isEmpty())) {
            closeAndEnd(AttemptOutcome.BROKEN, "the answer bears no proof that it belongs to the request");
        } else if (responseInfo.notExecuted() || responseInfo.wrongReplica()) {
            endRefused();
        } else {
            beginBody(received);
        }
    }

    private void beginBody(ResponseHead received) {
        streaming = exchange.serviceRequest().isStreaming() && received.ok();
        if (!streaming) {
            buffered = new BufferedResponse(
                    received.status(),
                    exchange.responseHeaders(received, replica),
                    exchange.dispatcher().inFlight().buffers());
        }
    }

    /**
     * Processes body bytes. The first bytes, even an incomplete event, prove that the request has started: a replica
     * sends them with its first token. The head proves nothing, since it may be sent while the request is still queued.
     */
    @Override
    public Promise<Void> onBody(byte[] bytes) {
        silence.recordContact();
        if (ended || bytes.length == 0) {
            return Promise.complete();
        }
        survival.bytesReceived();
        timers.stopWeightsWatch();
        return streaming ? relay(bytes) : buffer(bytes);
    }

    private Promise<Void> buffer(byte[] bytes) {
        if (!buffered.append(bytes)) {
            closeAndEnd(AttemptOutcome.BROKEN, "the answer is too long");
        }
        return Promise.complete();
    }

    private Promise<Void> relay(byte[] bytes) {
        boolean continued = streamBody.continuation().isPresent();
        byte[] newEvents;
        try {
            newEvents = streamBody.feed(bytes);
        } catch (CorruptStreamException e) {
            closeAndEnd(AttemptOutcome.BROKEN, e.getMessage());
            return Promise.complete();
        } finally {
            if (!continued) {
                streamBody.continuation().ifPresent(c -> exchange.log().streamContinued(replica, c));
            }
        }
        if (newEvents.length == 0) {
            return Promise.complete();
        }
        replica.load().recordFirstEvent(request.id(), now());
        silence.restart(request.silenceTimeouts().pauseMillis());
        exchange.attemptAnswered(this);
        exchange.recordRelay(replica);
        exchange.beginResponse(head, replica);
        return exchange.response().write(newEvents);
    }

    @Override
    public void onComplete() {
        if (ended) {
            return;
        }
        if (head.status() >= MIN_SERVER_ERROR) {
            replica.guard().recordFailure(now());
            replica.connections().release(connection);
            end(AttemptOutcome.FAILED, "the replica answered " + head.status(), Optional.of(buffered));
        } else if (streaming && streamBody.insideEvent()) {
            end(AttemptOutcome.BROKEN, "the stream ended inside an event", Optional.empty());
        } else if (streaming && streamBody.endsBeforeLast()) {
            closeAndEnd(AttemptOutcome.BROKEN, "the stream ended before the last event that the caller has");
        } else if (!streaming && exchange.hasResponseStarted()) {
            closeAndEnd(AttemptOutcome.BROKEN, "the replica cannot go on with the stream: " + head.status());
        } else {
            deliver();
        }
    }

    @Override
    public void onEndOfConnection() {
        if (ended || !head.ok()) {
            onComplete();
            return;
        }
        replica.connections().checkRunning().whenResult(check -> {
            exchange.log().endedWithConnection(replica, check.name());
            if (check == Check.REFUSED && !isLastAnswer()) {
                onFailure("the replica ended together with its answer");
            } else {
                onComplete();
            }
        });
    }

    /**
     * Returns whether an answer without a length is taken as complete though the replica takes no connection. One that
     * leaves does not while its last answers end. A stream that another replica can go on with is not taken so, since
     * that replica sends nothing more if it was complete.
     */
    private boolean isLastAnswer() {
        return replica.isLeaving() && !(streaming && exchange.canRetryNow());
    }

    private void endRefused() {
        boolean misdirected = head.status() == 421;
        if (head.status() == SERVICE_UNAVAILABLE) {
            exchange.dispatcher().brittleReplicas().recordRejection(replica, request.id());
        }
        if (misdirected && responseInfo.wrongReplica()) {
            replica.guard().recordConnectFailure(now());
        } else if (!misdirected && !isAnnounced()) {
            replica.guard().recordFailure(now());
        }
        AttemptOutcome outcome = misdirected ? AttemptOutcome.MISDIRECTED : AttemptOutcome.REFUSED;
        replica.connections().releaseAfterResponse(connection);
        end(outcome, "the replica did not run it: " + head.status(), Optional.empty());
    }

    /** Returns whether the replica said itself that it does not take requests, which is no failure. */
    private boolean isAnnounced() {
        return replica.limiter().isLimited() || responseInfo.availability().isUnavailable();
    }

    private void deliver() {
        stop();
        exchange.attemptAnswered(this);
        replica.guard().recordSuccess();
        replica.brittleLimit().recordCompletion();
        exchange.content().recordCompletion();
        survival.completed(replica, connection);
        replica.connections().release(connection);
        if (streaming) {
            exchange.beginResponse(head, replica);
            exchange.response().write(streamBody.takePending());
            exchange.response().end();
        } else {
            buffered.sendTo(exchange.response());
        }
        exchange.responseDelivered("DELIVERED");
    }

    @Override
    public void onFailure(String reason) {
        if (!ended) {
            replica.guard().recordFailure(now());
            if (!connection.hasReceived()) {
                exchange.dispatcher().paths().recordFailure(replica, ReplicaPaths.Failure.BROKEN);
            }
            end(AttemptOutcome.BROKEN, reason, Optional.empty());
        }
    }

    private void closeAndEnd(AttemptOutcome outcome, String reason) {
        if (!ended) {
            replica.guard().recordFailure(now());
            connection.close();
            end(outcome, reason, Optional.empty());
        }
    }

    private void end(AttemptOutcome outcome, String reason, Optional<BufferedResponse> failure) {
        stop();
        if (!outcome.mayHaveExecuted()) {
            target.engineChoice()
                    .ifPresent(c -> exchange.dispatcher().targetSelector().recordRefused(replica, c));
        }
        exchange.attemptEnded(this, outcome, reason, failure);
    }

    /** Cancels the attempt by closing its connection, which makes the replica stop. */
    void cancel() {
        stop();
        if (connection != null) {
            connection.close();
        }
    }

    private void stop() {
        ended = true;
        timers.cancelAll();
        if (buffered != null) {
            buffered.release();
        }
        replica.load().recordEnded(request.id());
    }

    private long now() {
        return exchange.dispatcher().clock().monotonicMillis();
    }
}
