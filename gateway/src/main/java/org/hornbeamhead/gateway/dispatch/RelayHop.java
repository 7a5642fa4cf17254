package org.hornbeamhead.gateway.dispatch;

import io.activej.promise.Promise;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Optional;
import org.hornbeamhead.core.forward.AttemptOutcome;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.core.route.RequestKind;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.stream.CorruptStreamException;
import org.hornbeamhead.gateway.path.RelayHeaders;
import org.hornbeamhead.gateway.path.RelayRouters;
import org.hornbeamhead.gateway.replica.NoConnectionException;
import org.hornbeamhead.gateway.replica.ReplicaConnection;
import org.hornbeamhead.gateway.replica.ResponseListener;

/** A request that was handed over, at one other router. */
final class RelayHop implements ResponseListener {
    /** The longest idle time of a reused connection; routers keep connections open for several seconds. */
    private static final long MAX_IDLE_MILLIS = 1_000;
    /** How long another router that can try other replicas itself may send nothing before a third one is tried. */
    private static final long ROUTER_SILENCE_MILLIS = 1_500;
    /** After how long it is looked at again whether a third router can take over for one that is still silent. */
    private static final long RECHECK_MILLIS = 500;

    private final Dispatcher dispatcher;
    private final RelayedRequest request;
    private final RelayRouters.Peer peer;
    private final int executions;
    private final StreamBody streamBody;
    private ReplicaConnection connection;
    private ScheduledRunnable silenceTimer;
    private RelayAnswer answer;
    private long sentAt;
    private boolean ended;

    /**
     * Creates a hop that is not started yet.
     *
     * @param dispatcher the dispatcher
     * @param request the request
     * @param peer the other router
     * @param executions how many times replicas may run the request there
     */
    RelayHop(Dispatcher dispatcher, RelayedRequest request, RelayRouters.Peer peer, int executions) {
        this.dispatcher = dispatcher;
        this.request = request;
        this.peer = peer;
        this.executions = executions;
        this.streamBody = new StreamBody(request.progress());
    }

    String address() {
        return peer.address();
    }

    /** Returns how many times replicas may run the request there. */
    int executions() {
        return executions;
    }

    /** Returns whether the request was written to a connection. */
    boolean wasSent() {
        return connection != null;
    }

    /** Returns whether the other router has begun to answer. */
    boolean hasAnswered() {
        return answer != null;
    }

    void start() {
        peer.requestStarted();
        peer.connections().acquire(MAX_IDLE_MILLIS, RelayRouters.MAX_REQUESTS).subscribe((acquired, e) -> {
            if (ended) {
                if (acquired != null) {
                    peer.connections().release(acquired);
                }
            } else if (e != null) {
                end(
                        e instanceof NoConnectionException ? AttemptOutcome.NOT_SENT : AttemptOutcome.NOT_CONNECTED,
                        "no connection: " + e.getMessage());
            } else {
                send(acquired);
            }
        });
    }

    private void send(ReplicaConnection acquired) {
        connection = acquired;
        sentAt = dispatcher.clock().monotonicMillis();
        if (request.route().repeatable()) {
            restartSilenceTimer(firstAnswerMillis());
        }
        streamBody.requested();
        acquired.send(request.message(this), request.method(), head -> true, this);
    }

    /** Returns how long to wait for an answer: as for a replica if the other router cannot try another one. */
    private long firstAnswerMillis() {
        return executions > 1
                ? ROUTER_SILENCE_MILLIS
                : Math.min(ROUTER_SILENCE_MILLIS, timeouts().firstByteMillis());
    }

    private long pauseMillis() {
        long pause = timeouts().pauseMillis();
        return executions > 1 && pause != SilenceTimeouts.UNLIMITED ? pause + ROUTER_SILENCE_MILLIS : pause;
    }

    private SilenceTimeouts timeouts() {
        Route route = request.route();
        return new SilenceTimeouts(route.limits(), route.kind() == RequestKind.STREAM, route.repeatable(), 0);
    }

    private void restartSilenceTimer(long millis) {
        cancelSilenceTimer();
        if (millis != SilenceTimeouts.UNLIMITED) {
            silenceTimer = dispatcher
                    .reactor()
                    .delayBackground(millis, () -> request.hopSilent(this, "silent for " + millis + " ms"));
        }
    }

    /** Waits on for the other router after it was silent. */
    void goOn() {
        if (answer == null || answer.streaming()) {
            restartSilenceTimer(RECHECK_MILLIS);
        }
    }

    @Override
    public void onHead(ResponseHead head) {
        cancelSilenceTimer();
        ResponseHead replicaHead =
                new ResponseHead(head.status(), RelayHeaders.forCaller(head.headers()), head.keepAlive());
        RelayHeaders.replica(head.headers())
                .flatMap(dispatcher::findReplica)
                .ifPresent(r -> dispatcher.statements().observe(r, replicaHead, sentAt, request.callerRequest()));
        boolean streaming = !RelayHeaders.isDeclined(head.headers())
                && head.ok()
                && request.route().kind() == RequestKind.STREAM;
        answer = new RelayAnswer(
                head,
                dispatcher.headerCodec().callerHeaders(replicaHead),
                streaming,
                dispatcher.inFlight().buffers());
        if (streaming && !request.streamAnswered(this, answer)) {
            closeAndEnd("the router goes on at other software than the stream began at");
        }
    }

    @Override
    public Promise<Void> onBody(byte[] bytes) {
        if (ended || bytes.length == 0) {
            return Promise.complete();
        }
        if (answer.streaming()) {
            return relayEvents(bytes);
        }
        if (!answer.body().append(bytes)) {
            closeAndEnd("the answer is too long");
        }
        return Promise.complete();
    }

    private Promise<Void> relayEvents(byte[] bytes) {
        try {
            byte[] newEvents = streamBody.feed(bytes);
            if (newEvents.length == 0) {
                return Promise.complete();
            }
            cancelSilenceTimer();
            return request.relay(this, newEvents).whenResult(() -> {
                if (!ended) {
                    restartSilenceTimer(pauseMillis());
                }
            });
        } catch (CorruptStreamException e) {
            closeAndEnd(e.getMessage());
            return Promise.complete();
        }
    }

    @Override
    public void onComplete() {
        if (ended) {
            return;
        }
        peer.connections().release(connection);
        if (answer.streaming() && streamBody.insideEvent()) {
            end(AttemptOutcome.BROKEN, "the stream ended inside an event");
            return;
        }
        if (answer.streaming() && streamBody.endsBeforeLast()) {
            end(AttemptOutcome.BROKEN, "the stream ended before the last event that the caller has");
            return;
        }
        stop();
        request.relay(this, streamBody.takePending());
        request.answered(this, answer);
    }

    @Override
    public void onFailure(String reason) {
        if (!ended) {
            end(AttemptOutcome.BROKEN, reason);
        }
    }

    private void closeAndEnd(String reason) {
        connection.close();
        end(AttemptOutcome.BROKEN, reason);
    }

    private void end(AttemptOutcome outcome, String reason) {
        stop();
        request.hopEnded(this, outcome, reason, Optional.empty());
    }

    /** Cancels the request by closing its connection, which makes the other router stop. */
    void cancel() {
        stop();
        if (connection != null) {
            connection.close();
        }
    }

    private void stop() {
        ended = true;
        if (answer != null) {
            answer.body().release();
        }
        cancelSilenceTimer();
        peer.requestEnded();
    }

    private void cancelSilenceTimer() {
        if (silenceTimer != null) {
            silenceTimer.cancel();
            silenceTimer = null;
        }
    }
}
