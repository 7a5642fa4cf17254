package org.hornbeamhead.gateway.dispatch;

import com.google.common.flogger.FluentLogger;
import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import org.hornbeamhead.core.forward.AttemptEnd;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.stream.CorruptStreamException;
import org.hornbeamhead.core.stream.EventSplitter;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaConnection;
import org.hornbeamhead.gateway.replica.ReplicaListener;

/** One try of a request at one replica. */
final class Attempt implements ReplicaListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** A kept connection idle for longer may be closed by the replica just as the request is written. */
    private static final long SAFE_IDLE_MILLIS = 1_000;

    private static final long REPEATABLE_IDLE_MILLIS = 5_000;
    /** However many routers there are, one request may follow another's connection that was just found silent. */
    private static final int MIN_CONNECTIONS = 2;
    /** Engines at work send an event every tenth of a second. */
    private static final long SILENT_MILLIS = 500;
    /** A replica's own failures are 5xx. */
    private static final int FIRST_FAILURE = 500;

    private final Exchange exchange;
    private final Target target;
    private final LiveReplica replica;
    private final EventSplitter cutter = new EventSplitter();
    private final AttemptTimers timers;
    private final AttemptRequest request;
    private ReplicaConnection connection;
    private ResponseHead head;
    private ReplicaReply reply;
    private BufferedAnswer buffered;
    private boolean streaming;
    private boolean sent;
    private boolean begun;
    private long sentAt;
    private boolean over;
    private long lastHeardAt;

    Attempt(Exchange exchange, Target target) {
        this.exchange = exchange;
        this.target = target;
        this.replica = target.replica();
        this.request = new AttemptRequest(exchange, target);
        this.timers = new AttemptTimers(exchange.dispatcher().reactor());
    }

    Target target() {
        return target;
    }

    boolean wasSent() {
        return sent;
    }

    /** Tells whether the replica has shown that it works on the request. */
    boolean hasBegun() {
        return begun;
    }

    /** When it was sent, if it was, in milliseconds of the monotonic clock. */
    long sentAt() {
        return sentAt;
    }

    /** Tells whether the replica has the request and has said nothing for a while. */
    boolean isSilent() {
        return sent && !over && now() - lastHeardAt > SILENT_MILLIS;
    }

    void start() {
        Route route = exchange.subject().route();
        long idle = route.repeatable() ? REPEATABLE_IDLE_MILLIS : SAFE_IDLE_MILLIS;
        int limit = Math.max(
                MIN_CONNECTIONS,
                exchange.dispatcher().part(exchange.subject().service().maxConnections()));
        request.noteSent();
        replica.connections().take(idle, limit).subscribe((taken, e) -> {
            if (over) {
                if (taken != null) {
                    replica.connections().giveBack(taken);
                }
            } else if (e != null) {
                replica.guard().unreachable(now());
                end(AttemptEnd.NOT_SENT, "no connection: " + e.getMessage(), Optional.empty());
            } else if (weightsOutOfUse()) {
                replica.connections().giveBack(taken);
                end(AttemptEnd.NOT_SENT, "weights went out of use while it connected", Optional.empty());
            } else {
                send(taken);
            }
        });
    }

    /** Opening a connection takes its time; a request that is not sent after all has surely not run. */
    private boolean weightsOutOfUse() {
        return request.weights()
                .filter(w -> exchange.dispatcher().beginLimits().leftMillis(w) <= 0)
                .isPresent();
    }

    private void send(ReplicaConnection taken) {
        connection = taken;
        sent = true;
        sentAt = now();
        lastHeardAt = sentAt;
        SendOrder order = exchange.orderFor(target);
        request.logSent(order);
        armSilence(request.patience().firstByteMillis());
        request.weights()
                .ifPresent(w -> timers.begin(exchange.dispatcher().beginLimits().watch(w, this::takeBack)));
        timers.doubt(request.patience().doubtMillis(), this::doubtReplica);
        taken.send(request.message(order), request.method(), request::answeredBy, this);
    }

    /** Nothing has come for longer than predicted: the replica may be gone without a sign. */
    private void doubtReplica() {
        if (!over && head == null) {
            replica.connections().probe(() -> replica.guard().unreachable(now()));
        }
    }

    /**
     * The weights go out of use before the request has begun: it may not begin there any more, whatever it costs. The
     * replica is not to blame, and may have begun a moment ago.
     */
    private void takeBack() {
        connection.close();
        end(AttemptEnd.SILENT, "not begun when the weights went out of use", Optional.empty());
    }

    /**
     * Gives the try up when nothing comes for a time, if another replica can take over then.
     *
     * <p>Failure: an engine pauses for longer than its stream should, and the budget of repeats is used up. Symptom:
     * the caller's answer is cut in the middle, though the engine would have gone on. Silence alone ends nothing.
     */
    private void armSilence(long millis) {
        timers.silence(millis, () -> {
            if (exchange.canMove()) {
                endSilent(millis);
            } else {
                logger.atInfo()
                        .with(Logs.REQUEST, request.id())
                        .with(Logs.DECISION, "waits on")
                        .with(Logs.REASON, "silent for " + millis + " ms, and nobody can take over")
                        .log("the try goes on");
                armSilence(millis);
            }
        });
    }

    private void endSilent(long millis) {
        replica.connections().distrustKept();
        closeAndEnd(AttemptEnd.SILENT, "silent for " + millis + " ms");
    }

    @Override
    public void head(ResponseHead came) {
        lastHeardAt = now();
        head = came;
        reply = exchange.dispatcher().dialect().reply(came, replica.entry().id());
        reply.weights().ifPresent(replica::sawWeights);
        boolean own = reply.fromReplica() || reply.notRun() || reply.otherReplica();
        if (!own || (came.ok() && reply.requestId().isEmpty())) {
            closeAndEnd(AttemptEnd.BROKEN, "the answer bears no proof that it belongs to the request");
            return;
        }
        streaming = exchange.streams() && came.ok();
        if (!streaming) {
            buffered = new BufferedAnswer(
                    came.status(), exchange.dispatcher().dialect().toCaller(came));
        }
    }

    /**
     * The first bytes, even of half an event, prove that the request has begun: a replica makes them from its first
     * token. The head proves nothing, since it may come while the request still waits.
     */
    @Override
    public Promise<Void> body(byte[] bytes) {
        lastHeardAt = now();
        if (over || bytes.length == 0) {
            return Promise.complete();
        }
        begun = true;
        timers.begun();
        if (!streaming) {
            buffered.add(bytes);
            return Promise.complete();
        }
        List<EventSplitter.Event> events;
        try {
            events = cutter.feed(bytes);
        } catch (CorruptStreamException e) {
            closeAndEnd(AttemptEnd.BROKEN, e.getMessage());
            return Promise.complete();
        }
        return events.isEmpty() ? Promise.complete() : relay(events);
    }

    private Promise<Void> relay(List<EventSplitter.Event> events) {
        replica.load().firstEvent(request.id(), now());
        armSilence(request.patience().pauseMillis());
        ByteArrayOutputStream fresh = new ByteArrayOutputStream();
        events.stream().filter(e -> exchange.progress().advance(e.id())).forEach(e -> fresh.writeBytes(e.bytes()));
        if (fresh.size() == 0) {
            return Promise.complete();
        }
        exchange.begin(head);
        exchange.relayed();
        return exchange.answer().write(fresh.toByteArray());
    }

    @Override
    public void whole() {
        if (over) {
            return;
        }
        if (reply.notRun() || reply.otherReplica()) {
            refused();
        } else if (head.status() >= FIRST_FAILURE) {
            replica.guard().failed(now());
            endAndGiveBack(AttemptEnd.FAILED, "the replica answered " + head.status(), Optional.of(buffered));
        } else if (streaming && cutter.insideEvent()) {
            end(AttemptEnd.BROKEN, "the stream ended inside an event", Optional.empty());
        } else {
            deliver();
        }
    }

    private void refused() {
        boolean misdirected = head.status() == 421;
        if (misdirected && reply.otherReplica()) {
            replica.guard().unreachable(now());
        } else if (!misdirected) {
            replica.guard().failed(now());
        }
        AttemptEnd how = misdirected ? AttemptEnd.MISDIRECTED : AttemptEnd.REFUSED;
        endAndGiveBack(how, "the replica did not run it: " + head.status(), Optional.empty());
    }

    private void deliver() {
        stop();
        replica.guard().succeeded();
        exchange.completed();
        replica.connections().giveBack(connection);
        if (streaming) {
            exchange.begin(head);
            exchange.answer().end();
        } else {
            buffered.deliver(exchange.answer());
        }
        exchange.delivered("DELIVERED");
    }

    @Override
    public void broken(String why) {
        if (!over) {
            replica.guard().failed(now());
            end(AttemptEnd.BROKEN, why, Optional.empty());
        }
    }

    private void closeAndEnd(AttemptEnd how, String why) {
        if (!over) {
            replica.guard().failed(now());
            connection.close();
            end(how, why, Optional.empty());
        }
    }

    private void endAndGiveBack(AttemptEnd how, String why, Optional<BufferedAnswer> failure) {
        replica.connections().giveBack(connection);
        end(how, why, failure);
    }

    private void end(AttemptEnd how, String why, Optional<BufferedAnswer> failure) {
        stop();
        if (!how.mayHaveRun()) {
            target.choice().ifPresent(c -> exchange.dispatcher().picker().refused(replica, c));
        }
        exchange.attemptEnded(how, why, failure);
    }

    /** Gives the try up: the replica sees its connection close, and stops. */
    void abandon() {
        stop();
        if (connection != null) {
            connection.close();
        }
    }

    private void stop() {
        over = true;
        timers.stop();
        replica.load().ended(request.id());
    }

    private long now() {
        return exchange.dispatcher().clock().monotonicMillis();
    }
}
