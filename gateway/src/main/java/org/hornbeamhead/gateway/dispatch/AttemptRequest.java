package org.hornbeamhead.gateway.dispatch;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.core.engine.Prompt;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** The request that an attempt sends to its replica, and the response expected for it. */
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
        return exchange.serviceRequest().callerRequest().id();
    }

    String method() {
        return exchange.serviceRequest().callerRequest().message().head().method();
    }

    byte[] message(ForwardingOptions options) {
        CallerRequest request = exchange.serviceRequest().callerRequest();
        return RequestMessage.encode(
                request.message(), exchange.dispatcher().headerCodec().replicaHeaders(request, options));
    }

    /**
     * Adds the request to the load of the replica. This happens as soon as a connection is requested, not only when the
     * request is sent.
     */
    void recordSent() {
        Optional<Prompt> prompt = exchange.serviceRequest().callerRequest().prompt();
        int memoryTokens = prompt.map(Prompt::memoryTokens).orElse(0);
        boolean longResponse =
                target.engineChoice().map(EngineChoice::longAnswer).orElse(false);
        double readMillis =
                target.engineChoice().map(EngineChoice::prefillMillis).orElse(0.0);
        replica.load().recordSent(id(), readMillis, memoryTokens, longResponse, now());
        target.engineChoice().ifPresent(c -> exchange.dispatcher().recordEngineSend(replica, c));
    }

    /** Returns the weights that the request would run on; empty when it needs none. */
    Optional<WeightsExpiryMonitor.ModelVersion> modelVersion() {
        Optional<Prompt> prompt = exchange.serviceRequest().callerRequest().prompt();
        return target.engineChoice()
                .flatMap(c -> prompt.map(p -> new WeightsExpiryMonitor.ModelVersion(
                        p.model(), c.engine().weights())));
    }

    /**
     * Returns whether the weights expired, which can happen while the connection is opened. A request that is not sent
     * has certainly not run.
     */
    boolean hasExpiredWeights() {
        return modelVersion()
                .filter(v -> exchange.dispatcher().weightsExpiry().remainingMillis(v) <= 0)
                .isPresent();
    }

    /** Logs which request is sent to which replica, and why. */
    void logSent(ForwardingOptions options) {
        logger.atInfo()
                .with(Logs.REQUEST, id())
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "sent")
                .with(Logs.REASON, target.reason())
                .with(Logs.INPUTS, logInputs(options))
                .log("sent");
    }

    private String logInputs(ForwardingOptions options) {
        WeightsExpiryMonitor monitor = exchange.dispatcher().weightsExpiry();
        return "predictedMillis=" + Math.round(target.predictedMillis())
                + " load=" + replica.load().runningRequests(now())
                + (replica.statedLoad().isSlow(now())
                        ? " pace=" + replica.statedLoad().pace(now())
                        : "")
                + " millisLeft=" + options.timeLeftMillis()
                + " software=" + replica.entry().softwareVersion()
                + (options.lastEventId().isPresent()
                        ? " after=" + options.lastEventId().getAsLong()
                        : "")
                + exchange.serviceRequest()
                        .callerRequest()
                        .resumedAttempt()
                        .map(id -> " resumes=" + id)
                        .orElse("")
                + options.engine().map(e -> " salt=" + e.salt()).orElse("")
                + modelVersion()
                        .map(monitor::remainingMillis)
                        .filter(remaining -> remaining != SilenceTimeouts.UNLIMITED)
                        .map(remaining -> " weightsMillisLeft=" + remaining)
                        .orElse("");
    }

    /** Returns the silence timeouts of the attempt under the current conditions. */
    SilenceTimeouts silenceTimeouts() {
        return new SilenceTimeouts(
                exchange.serviceRequest().route().limits(),
                exchange.serviceRequest().isStreaming(),
                exchange.canRetry(),
                target.predictedMillis());
    }

    /**
     * Returns whether a response may belong to this request. Only a response that names another request certainly does
     * not.
     */
    boolean matchesResponse(ResponseHead head) {
        String id = exchange.dispatcher()
                .headerCodec()
                .decodeResponse(head, replica.entry().id())
                .requestId();
        return id.isEmpty() || id.equals(id());
    }

    private long now() {
        return exchange.dispatcher().clock().monotonicMillis();
    }
}
