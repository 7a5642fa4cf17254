package org.hornbeamhead.gateway.dispatch;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.core.engine.Prompt;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** What one try sends to its replica, and what is expected of it. */
final class AttemptRequest {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Exchange exchange;
    private final Target target;
    private final LiveReplica replica;

    AttemptRequest(Exchange exchange, Target target) {
        this.exchange = exchange;
        this.target = target;
        this.replica = target.replica();
    }

    String id() {
        return exchange.subject().request().id();
    }

    String method() {
        return exchange.subject().request().whole().head().method();
    }

    byte[] message(SendOrder order) {
        CallerRequest request = exchange.subject().request();
        return RequestMessage.of(
                request.whole(), exchange.dispatcher().dialect().toReplica(request, order));
    }

    /** The replica is counted upon from the moment at which a connection is asked for. */
    void noteSent() {
        Optional<Prompt> prompt = exchange.subject().request().prompt();
        int memory = prompt.map(Prompt::memoryTokens).orElse(0);
        boolean longAnswer = prompt.map(Prompt::hasLongAnswer).orElse(false);
        double read = target.choice().map(EngineChoice::prefillMillis).orElse(0.0);
        replica.load().recordSent(id(), read, memory, longAnswer, now());
        target.choice().ifPresent(c -> exchange.dispatcher().sentToEngine(replica, c));
    }

    /** The weights on which the request would begin; empty where it needs none. */
    Optional<BeginLimits.Weights> weights() {
        Optional<Prompt> prompt = exchange.subject().request().prompt();
        return target.choice()
                .flatMap(c -> prompt.map(
                        p -> new BeginLimits.Weights(p.model(), c.engine().weights())));
    }

    /** Tells the log what goes where, and why. */
    void logSent(SendOrder order) {
        logger.atInfo()
                .with(Logs.REQUEST, id())
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "sent")
                .with(Logs.REASON, target.why())
                .with(Logs.INPUTS, inputs(order))
                .log("sent");
    }

    private String inputs(SendOrder order) {
        BeginLimits limits = exchange.dispatcher().beginLimits();
        return "predictedMillis=" + Math.round(target.predictedMillis())
                + " load=" + replica.load().runningRequests(now())
                + " millisLeft=" + order.timeLeftMillis()
                + order.engine().map(e -> " salt=" + e.salt()).orElse("")
                + weights()
                        .map(limits::leftMillis)
                        .filter(left -> left != Patience.UNLIMITED)
                        .map(left -> " weightsMillisLeft=" + left)
                        .orElse("");
    }

    /** How long the try may be silent, as things stand now. */
    Patience patience() {
        return new Patience(
                exchange.subject().route().limits(),
                exchange.streams(),
                exchange.mayTryAgain(),
                target.predictedMillis());
    }

    /** Only an answer that names another request surely belongs to that one. */
    boolean answeredBy(ResponseHead answered) {
        String id = exchange.dispatcher()
                .dialect()
                .reply(answered, replica.entry().id())
                .requestId();
        return id.isEmpty() || id.equals(id());
    }

    private long now() {
        return exchange.dispatcher().clock().monotonicMillis();
    }
}
