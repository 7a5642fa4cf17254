package org.hornbeamhead.gateway.dispatch;

import com.google.common.flogger.FluentLogger;
import io.activej.promise.Promise;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.core.engine.Prompt;
import org.hornbeamhead.core.forward.AttemptEnd;
import org.hornbeamhead.core.http.Header;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.RequestHead;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.stream.CorruptStreamException;
import org.hornbeamhead.core.stream.EventCutter;
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
    /** A replica's own failures are 5xx. */
    private static final int FIRST_FAILURE = 500;
    /** An idempotent request that has taken this part of its target is better off elsewhere. */
    private static final double SILENT_PART_OF_TARGET = 0.7;
    /** A stream's first event may take this many targets, or predicted times, before another replica is tried. */
    private static final double SILENT_TARGETS = 1.5;

    private static final double SILENT_PREDICTIONS = 2.5;
    /**
     * How long past its predicted time an answer may be before the replica is probed; the wait is rarely off by more.
     */
    private static final long DOUBT_MILLIS = 250;
    /** Two pauses that are still on time: a longer one is a replica that has stopped. */
    private static final double SILENT_PAUSES = 2;

    private final Exchange exchange;
    private final Target target;
    private final LiveReplica replica;
    private final EventCutter cutter = new EventCutter();
    private ReplicaConnection connection;
    private ScheduledRunnable silence;
    private ScheduledRunnable doubt;
    private ResponseHead head;
    private ReplicaReply reply;
    private BufferedAnswer buffered;
    private boolean streaming;
    private boolean sent;
    private boolean over;

    Attempt(Exchange exchange, Target target) {
        this.exchange = exchange;
        this.target = target;
        this.replica = target.replica();
    }

    Target target() {
        return target;
    }

    boolean wasSent() {
        return sent;
    }

    void start() {
        Route route = exchange.subject().route();
        long idle = route.repeatable() ? REPEATABLE_IDLE_MILLIS : SAFE_IDLE_MILLIS;
        int limit = Math.max(
                2,
                exchange.subject().service().maxConnections()
                        / exchange.dispatcher().routers());
        noteSent();
        replica.connections().take(idle, limit).subscribe((taken, e) -> {
            if (over) {
                if (taken != null) {
                    replica.connections().giveBack(taken);
                }
            } else if (e != null) {
                replica.guard().unreachable(now());
                end(AttemptEnd.NOT_SENT, "no connection: " + e.getMessage(), Optional.empty());
            } else {
                send(taken);
            }
        });
    }

    private void noteSent() {
        String id = exchange.subject().request().id();
        Optional<Prompt> prompt = exchange.subject().request().prompt();
        int memory = prompt.map(Prompt::memoryTokens).orElse(0);
        boolean longAnswer = prompt.map(Prompt::hasLongAnswer).orElse(false);
        double read = target.choice().map(EngineChoice::readMillis).orElse(0.0);
        replica.load().sent(id, read, memory, longAnswer, now());
        target.choice().ifPresent(c -> exchange.dispatcher().sentToEngine(replica, c));
    }

    private void send(ReplicaConnection taken) {
        connection = taken;
        sent = true;
        CallerRequest request = exchange.subject().request();
        SendOrder order = exchange.orderFor(target);
        logger.atInfo()
                .with(Logs.REQUEST, request.id())
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "sent")
                .with(Logs.REASON, target.why())
                .with(Logs.INPUTS, inputs(order))
                .log("sent");
        armSilence(Math.min(firstByteLimit(), weightsLimit(request)));
        doubt = exchange.dispatcher().reactor().delayBackground(doubtAfterMillis(), this::doubtReplica);
        taken.send(message(request, order), request.whole().head().method(), this::belongs, this);
    }

    private String inputs(SendOrder order) {
        return "predictedMillis=" + Math.round(target.predictedMillis())
                + " load=" + replica.load().total(now())
                + " millisLeft=" + order.timeLeftMillis()
                + order.engine().map(e -> " salt=" + e.salt()).orElse("");
    }

    private byte[] message(CallerRequest request, SendOrder order) {
        RequestHead from = request.whole().head();
        byte[] body = request.whole().body();
        Headers headers = exchange.dispatcher().dialect().toReplica(request, order);
        StringBuilder text = new StringBuilder(512);
        text.append(from.method()).append(' ').append(from.target()).append(" HTTP/1.1\r\n");
        for (Header h : headers.lines()) {
            text.append(h.name()).append(": ").append(h.value()).append("\r\n");
        }
        boolean bodiless = body.length == 0
                && (from.method().equals("GET") || from.method().equals("HEAD"));
        text.append(bodiless ? "\r\n" : "Content-Length: " + body.length + "\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream(text.length() + body.length);
        all.writeBytes(text.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        return all.toByteArray();
    }

    /** Only an answer that names another request surely belongs to that one. */
    private boolean belongs(ResponseHead answered) {
        String id = exchange.dispatcher()
                .dialect()
                .reply(answered, replica.entry().id())
                .requestId();
        return id.isEmpty() || id.equals(exchange.subject().request().id());
    }

    private long firstByteLimit() {
        Route route = exchange.subject().route();
        if (!exchange.mayTryAgain()) {
            return Long.MAX_VALUE;
        }
        long aim = route.limits().targetMillis();
        return exchange.streams()
                ? (long) Math.max(aim * SILENT_TARGETS, target.predictedMillis() * SILENT_PREDICTIONS)
                : (long) (aim * SILENT_PART_OF_TARGET);
    }

    private long doubtAfterMillis() {
        return DOUBT_MILLIS + (long) target.predictedMillis();
    }

    /** Nothing has come for longer than predicted: the replica may be gone without a sign. */
    private void doubtReplica() {
        if (!over && head == null) {
            replica.connections().probe(() -> replica.guard().unreachable(now()));
        }
    }

    /**
     * A request that still waits at an engine when its weights go out of use is taken back there, whatever it costs.
     */
    private long weightsLimit(CallerRequest request) {
        if (target.choice().isEmpty() || request.prompt().isEmpty()) {
            return Long.MAX_VALUE;
        }
        long version = target.choice().get().engine().weights();
        long usable =
                exchange.dispatcher().picker().usableMillis(request.prompt().get(), version);
        return usable == Long.MAX_VALUE ? usable : Math.max(1, usable);
    }

    private void armSilence(long millis) {
        disarm();
        if (millis != Long.MAX_VALUE) {
            silence = exchange.dispatcher().reactor().delayBackground(millis, () -> {
                replica.connections().distrustKept();
                closeAndEnd(AttemptEnd.SILENT, "silent for " + millis + " ms");
            });
        }
    }

    private void disarm() {
        if (silence != null) {
            silence.cancel();
            silence = null;
        }
    }

    @Override
    public void head(ResponseHead came) {
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

    @Override
    public Promise<Void> body(byte[] bytes) {
        if (over || bytes.length == 0) {
            return Promise.complete();
        }
        if (!streaming) {
            buffered.add(bytes);
            return Promise.complete();
        }
        List<EventCutter.Event> events;
        try {
            events = cutter.feed(bytes);
        } catch (CorruptStreamException e) {
            closeAndEnd(AttemptEnd.BROKEN, e.getMessage());
            return Promise.complete();
        }
        return events.isEmpty() ? Promise.complete() : relay(events);
    }

    private Promise<Void> relay(List<EventCutter.Event> events) {
        replica.load().firstEvent(exchange.subject().request().id(), now());
        armSilence(pauseLimit());
        ByteArrayOutputStream fresh = new ByteArrayOutputStream();
        events.stream().filter(e -> exchange.progress().advance(e.id())).forEach(e -> fresh.writeBytes(e.bytes()));
        if (fresh.size() == 0) {
            return Promise.complete();
        }
        exchange.begin(head);
        return exchange.answer().write(fresh.toByteArray());
    }

    private long pauseLimit() {
        long pause = exchange.subject().route().limits().pauseMillis();
        return exchange.mayTryAgain() && pause > 0 ? (long) (pause * SILENT_PAUSES) : Long.MAX_VALUE;
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
            replica.saidLeaving();
        } else if (!misdirected) {
            replica.guard().failed(now());
        }
        AttemptEnd how = misdirected ? AttemptEnd.MISDIRECTED : AttemptEnd.REFUSED;
        endAndGiveBack(how, "the replica did not run it: " + head.status(), Optional.empty());
    }

    private void deliver() {
        stop();
        replica.guard().succeeded();
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
        disarm();
        if (doubt != null) {
            doubt.cancel();
        }
        replica.load().ended(exchange.subject().request().id());
    }

    private long now() {
        return exchange.dispatcher().clock().monotonicMillis();
    }
}
