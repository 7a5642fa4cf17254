package org.hornbeamhead.gateway.dispatch;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.hornbeamhead.core.engine.EngineAdmission;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.core.forward.FinalResponse;
import org.hornbeamhead.core.forward.RefusalReason;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.RequestHead;
import org.hornbeamhead.core.http.WholeRequest;
import org.hornbeamhead.core.quota.QuotaDecision;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.core.route.ServiceSpec;
import org.hornbeamhead.gateway.explain.ExplainQuery;
import org.hornbeamhead.gateway.explain.Explanation;
import org.hornbeamhead.gateway.explain.Explanation.Action;
import org.hornbeamhead.gateway.explain.Explanation.Decision;
import org.hornbeamhead.gateway.state.RoutingState;

/**
 * Explains what would be done with a new request now. It follows the steps of {@link Dispatcher} and {@link Exchange}
 * and only reads: nothing is sent, recorded, counted or booked.
 */
final class DecisionExplainer {
    private static final int NOT_RUN = FinalResponse.NOT_RUN.status();

    private final Dispatcher dispatcher;
    private final RoutingState state;

    DecisionExplainer(Dispatcher dispatcher, RoutingState state) {
        this.dispatcher = dispatcher;
        this.state = state;
    }

    /**
     * Explains a request.
     *
     * @param query the request
     * @param stopping whether this router rejects new requests because it is about to end
     */
    Explanation explain(ExplainQuery query, boolean stopping) {
        return state.config()
                .map(config -> explain(config, query, stopping))
                .orElseGet(() -> unrouted(
                        OptionalLong.empty(),
                        refuse(RefusalReason.NO_CONFIGURATION, Dispatcher.NOT_READY_RETRY_MILLIS)));
    }

    private Explanation explain(RoutingConfig config, ExplainQuery query, boolean stopping) {
        OptionalLong version = OptionalLong.of(config.version());
        CallerRequest request = request(query);
        Optional<Route> route =
                config.findRoute(query.host(), request.message().head().path());
        if (route.isEmpty()) {
            return unrouted(version, deny(Dispatcher.NOT_FOUND, "NO_ROUTE"));
        }
        Optional<KeyOwner> owner = query.key().flatMap(config::findKeyOwner);
        if (owner.isEmpty() && config.requiresKeys() && !route.get().allowsAnonymous()) {
            return unrouted(version, deny(Dispatcher.UNAUTHORIZED, "UNKNOWN_KEY"));
        }
        RoutedRequest routed = new RoutedRequest(config, route.get(), owner, request, now(), Optional.empty());
        Optional<ServiceSpec> service = config.findService(routed.service());
        Optional<Explanation.Routing> routing = Optional.of(new Explanation.Routing(
                route.get().name(),
                routed.service(),
                owner.map(KeyOwner::customer),
                route.get().priority(),
                service.map(s -> OptionalInt.of(new ServiceRequest(routed, s).enginePriority()))
                        .orElse(OptionalInt.empty())));
        Optional<QuotaDecision> quota = dispatcher.quotas().peek(routed.quotaOwner(), request.tokenCount());
        if (service.isEmpty()) {
            Decision decision = refuse(RefusalReason.STALE_CONFIGURATION, OwnAnswers.STALE_RETRY_MILLIS);
            return new Explanation(version, routing, quota, List.of(), decision);
        }
        ServiceRequest serviceRequest = new ServiceRequest(routed, service.get());
        List<TargetSelector.Evaluation> evaluations =
                dispatcher.targetSelector().evaluations(serviceRequest);
        Decision decision = stopping
                ? refuse(RefusalReason.STOPPING, Dispatcher.OTHER_ROUTER_RETRY_MILLIS)
                : decide(serviceRequest, quota, evaluations);
        return new Explanation(
                version, routing, quota, evaluations.stream().map(this::view).toList(), decision);
    }

    /** The body is not known, so that a quarantine of the whole content is not found. */
    private static CallerRequest request(ExplainQuery query) {
        WholeRequest message =
                new WholeRequest(new RequestHead("POST", query.path(), Headers.NONE, false), new byte[0]);
        return new CallerRequest(
                message,
                query.id(),
                query.host(),
                query.key(),
                OptionalLong.empty(),
                query.prompt(),
                Either.right(query.tokenCount()),
                OptionalLong.empty(),
                Optional.empty());
    }

    private Decision decide(
            ServiceRequest request, Optional<QuotaDecision> quota, List<TargetSelector.Evaluation> evaluations) {
        OptionalLong quarantineMillis =
                new RequestContent(request, dispatcher.quarantine(), dispatcher.brittleReplicas()).quarantineMillis();
        String service = request.service().name();
        Optional<String> router =
                dispatcher.paths().isLost(service) ? dispatcher.relayRouters().peek(service) : Optional.empty();
        if (router.isPresent() && quarantineMillis.isEmpty()) {
            return Decision.pass(Action.HAND_OVER, router.get(), RefusalReason.NO_PATH.name());
        }
        Optional<QuotaDecision> overQuota = quota.filter(q -> !q.admitted());
        if (overQuota.isPresent()) {
            return Decision.refuse(
                    FinalResponse.OVER_QUOTA.status(),
                    RefusalReason.OVER_QUOTA.name(),
                    OptionalLong.of(overQuota.get().retryAfterMillis()));
        }
        if (quarantineMillis.isPresent()) {
            return refuse(RefusalReason.QUARANTINED, quarantineMillis.getAsLong());
        }
        return evaluations.stream()
                .filter(e -> e.excludedBy().isEmpty())
                .findFirst()
                .map(best -> admit(request, best))
                .orElseGet(() -> refuse(
                        RefusalReason.NO_REPLICA,
                        dispatcher.targetSelector().peekReturnMillis(service).orElse(Exchange.RETRY_AFTER_MILLIS)));
    }

    private Decision admit(ServiceRequest request, TargetSelector.Evaluation best) {
        long timeLeftMillis = request.routed().deadline() - now();
        OptionalLong retryMillis = best.choice()
                .map(c -> EngineAdmission.retryAfterMillis(
                        c, request.route().limits().latencyTargetMillis(), timeLeftMillis))
                .orElse(OptionalLong.empty());
        return retryMillis.isPresent()
                ? refuse(RefusalReason.ENGINES_BUSY, retryMillis.getAsLong())
                : Decision.pass(Action.SEND, best.replica().entry().id(), "");
    }

    private Explanation.ReplicaView view(TargetSelector.Evaluation evaluation) {
        return new Explanation.ReplicaView(
                evaluation.replica().entry().id(),
                evaluation.replica().entry().dataCentre(),
                evaluation.replica().load().runningRequests(now()),
                evaluation.excludedBy(),
                evaluation.choice(),
                evaluation
                        .choice()
                        .flatMap(EngineChoice::fetchFrom)
                        .flatMap(dispatcher::findReplica)
                        .map(r -> r.entry().id()));
    }

    private Decision deny(int status, String reason) {
        return state.isFresh(now())
                ? Decision.refuse(status, reason, OptionalLong.empty())
                : refuse(RefusalReason.STALE_CONFIGURATION, OwnAnswers.STALE_RETRY_MILLIS);
    }

    private static Decision refuse(RefusalReason reason, long retryAfterMillis) {
        return Decision.refuse(NOT_RUN, reason.name(), OptionalLong.of(retryAfterMillis));
    }

    private static Explanation unrouted(OptionalLong version, Decision decision) {
        return new Explanation(version, Optional.empty(), Optional.empty(), List.of(), decision);
    }

    private long now() {
        return dispatcher.clock().monotonicMillis();
    }
}
