package org.hornbeamhead.gateway.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.core.engine.EngineCandidate;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.core.engine.EngineChooser;
import org.hornbeamhead.core.engine.EngineEvaluation;
import org.hornbeamhead.core.engine.KvTransferLinks;
import org.hornbeamhead.core.engine.Prompt;
import org.hornbeamhead.core.engine.RequestLevel;
import org.hornbeamhead.core.load.PlainReplica;
import org.hornbeamhead.core.route.CacheIsolation;
import org.hornbeamhead.core.route.EngineSpec;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.core.route.ServiceLevels;
import org.hornbeamhead.core.route.ServiceSpec;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.gateway.availability.ReplicaAvailability;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.RoutingState;
import org.hornbeamhead.gateway.state.WeightsView;

/** Selects the replica for an attempt. Engines are chosen by the engine chooser; this class collects its inputs. */
final class TargetSelector {
    private final Clock clock;
    private final ReplicaRegistry registry;
    private final ReplicaAvailability availability;
    private final WeightsView weights;
    private final RoutingState state;
    private final String dataCentre;
    private final boolean priorTraffic;
    private final Map<String, EngineChooser> choosers = new HashMap<>();

    /**
     * What the selection regards at one replica.
     *
     * @param replica the replica
     * @param excludedBy the rule that excludes it; empty if it may be selected
     * @param choice the predictions for an engine; empty for a plain service, or if no prediction was needed
     */
    record Evaluation(LiveReplica replica, Optional<String> excludedBy, Optional<EngineChoice> choice) {}

    TargetSelector(
            Clock clock,
            ReplicaRegistry registry,
            ReplicaAvailability availability,
            WeightsView weights,
            RoutingState state,
            String dataCentre,
            boolean priorTraffic) {
        this.clock = clock;
        this.registry = registry;
        this.availability = availability;
        this.weights = weights;
        this.state = state;
        this.dataCentre = dataCentre;
        this.priorTraffic = priorTraffic;
    }

    Optional<Target> select(ServiceRequest request, ReplicaScope scope) {
        return select(request, scope, UnaryOperator.identity());
    }

    /**
     * Selects a replica among some of the engines.
     *
     * @param request the request
     * @param scope the replicas that may get it
     * @param eligible selects the engines that should get it from all that are usable; if none of them can, all may
     */
    Optional<Target> select(ServiceRequest request, ReplicaScope scope, UnaryOperator<List<EngineCandidate>> eligible) {
        List<LiveReplica> replicas = usableReplicas(scope);
        Optional<Prompt> prompt = request.callerRequest().prompt();
        return request.service().engine().isPresent() && prompt.isPresent()
                ? selectEngine(request, prompt.get(), replicas, eligible)
                : selectLeastLoaded(replicas);
    }

    /**
     * Returns what the selection for a new request would regard, and changes nothing. The first replica that is not
     * excluded would be selected.
     */
    List<Evaluation> evaluations(ServiceRequest request) {
        long now = clock.monotonicMillis();
        List<LiveReplica> all = registry.replicas(request.service().name());
        Map<Boolean, List<LiveReplica>> byAvailability = all.stream()
                .collect(Collectors.partitioningBy(r -> availability.peek(r).isEmpty()));
        List<LiveReplica> available = byAvailability.get(true);
        List<LiveReplica> usable = withoutEjected(available, now);
        Stream<Evaluation> ejected = available.stream()
                .filter(r -> !usable.contains(r))
                .map(r -> new Evaluation(r, Optional.of("EJECTED"), Optional.empty()));
        Stream<Evaluation> unavailable = byAvailability.get(false).stream()
                .map(r -> new Evaluation(r, availability.peek(r).map(Enum::name), Optional.empty()));
        Optional<Prompt> prompt = request.callerRequest().prompt();
        Stream<Evaluation> candidates = request.service().engine().isPresent() && prompt.isPresent()
                ? engineEvaluations(request, prompt.get(), usable)
                : usable.stream().sorted(byLoad(now)).map(r -> new Evaluation(r, Optional.empty(), Optional.empty()));
        return Stream.of(candidates, ejected, unavailable)
                .flatMap(Function.identity())
                .toList();
    }

    private Stream<Evaluation> engineEvaluations(ServiceRequest request, Prompt prompt, List<LiveReplica> replicas) {
        long now = clock.monotonicMillis();
        EngineSpec spec = request.service().engine().orElseThrow();
        String group = cacheGroup(request);
        Map<String, LiveReplica> byRun =
                replicas.stream().collect(Collectors.toMap(r -> r.entry().run(), Function.identity()));
        EngineChooser chooser = Optional.ofNullable(
                        choosers.get(request.service().name()))
                .orElseGet(() -> new EngineChooser(priorTraffic));
        List<EngineEvaluation> evaluations = chooser.evaluations(
                prompt,
                level(request, now),
                c -> salt(prompt, group, c.weights()).hashCode(),
                candidates(spec, prompt, replicas),
                links(spec, request.config()),
                now);
        return evaluations.stream()
                .map(e -> new Evaluation(
                        byRun.get(e.choice().engine().id()), e.exclusion().map(Enum::name), Optional.of(e.choice())));
    }

    /** Returns when a replica of a service takes requests again, as {@link #bookReturnMillis} but without booking. */
    OptionalLong peekReturnMillis(String service) {
        return availability.peekReturnMillis(registry.replicas(service));
    }

    /** Returns the engines that a request could be sent to; none for a request that engines do not serve. */
    List<EngineCandidate> engines(ServiceRequest request, ReplicaScope scope) {
        Optional<Prompt> prompt = request.callerRequest().prompt();
        return request.service()
                .engine()
                .flatMap(spec -> prompt.map(p -> candidates(spec, p, usableReplicas(scope))))
                .orElse(List.of());
    }

    boolean hasUntried(ReplicaScope scope) {
        return scope.untried(registry).anyMatch(availability::accepts);
    }

    /**
     * Books the return of a caller whose request no replica takes now, in milliseconds; empty if a replica takes
     * requests, or if none is known to take them again.
     */
    OptionalLong bookReturnMillis(ReplicaScope scope, String request) {
        return availability.bookReturnMillis(scope.suitable(registry), request);
    }

    /**
     * Returns the available replicas that were not tried yet, without recently failed ones unless no others are left.
     */
    private List<LiveReplica> usableReplicas(ReplicaScope scope) {
        long now = clock.monotonicMillis();
        List<LiveReplica> untried =
                scope.untried(registry).filter(availability::accepts).toList();
        return withoutEjected(untried, now);
    }

    private static List<LiveReplica> withoutEjected(List<LiveReplica> replicas, long now) {
        List<LiveReplica> healthy =
                replicas.stream().filter(r -> !r.guard().isEjected(now)).toList();
        return healthy.isEmpty() ? replicas : healthy;
    }

    private Comparator<LiveReplica> byLoad(long now) {
        return Comparator.comparing(r -> toPlain(r, now), PlainReplica.byExpectedWork(now));
    }

    private Optional<Target> selectLeastLoaded(List<LiveReplica> replicas) {
        long now = clock.monotonicMillis();
        return replicas.stream()
                .min(byLoad(now))
                .map(r -> new Target(r, Optional.empty(), Optional.empty(), "least load"));
    }

    private PlainReplica toPlain(LiveReplica replica, long now) {
        return new PlainReplica(
                replica.load().runningRequests(now),
                replica.statedLoad(),
                replica.entry().dataCentre().equals(dataCentre),
                replica.connections().openCount());
    }

    private Optional<Target> selectEngine(
            ServiceRequest request,
            Prompt prompt,
            List<LiveReplica> replicas,
            UnaryOperator<List<EngineCandidate>> eligible) {
        ServiceSpec service = request.service();
        long now = clock.monotonicMillis();
        Map<String, LiveReplica> replicasByRun = new HashMap<>();
        replicas.forEach(r -> replicasByRun.put(r.entry().run(), r));
        EngineSpec spec = service.engine().orElseThrow();
        KvTransferLinks links = links(spec, request.config());
        List<EngineCandidate> all = candidates(spec, prompt, replicas);
        String group = cacheGroup(request);
        ToLongFunction<EngineCandidate> salt =
                c -> salt(prompt, group, c.weights()).hashCode();
        RequestLevel level = level(request, now);
        EngineChooser chooser = chooser(service.name());
        List<EngineCandidate> preferred = eligible.apply(all);
        return chooser.choose(prompt, level, salt, preferred, links, now)
                .or(() -> preferred.size() < all.size()
                        ? chooser.choose(prompt, level, salt, all, links, now)
                        : Optional.empty())
                .map(choice -> toTarget(
                        links,
                        prompt,
                        group,
                        choice,
                        replicasByRun.get(choice.engine().id())));
    }

    private List<EngineCandidate> candidates(EngineSpec spec, Prompt prompt, List<LiveReplica> replicas) {
        long now = clock.monotonicMillis();
        return replicas.stream()
                .map(r -> new EngineCandidate(
                        r.entry().run(),
                        r.entry().dataCentre(),
                        r.weightsVersion(prompt.model()),
                        weights.isSettled(prompt.model(), r.weightsVersion(prompt.model()), now),
                        r.load(),
                        spec.kvCapacityTokens(),
                        r.entry().slots(),
                        weights.isPenalized(prompt.model(), r.weightsVersion(prompt.model()), now),
                        weights.usableMillis(prompt.model(), r.weightsVersion(prompt.model()), now),
                        weights.isWeightChangePending(r.entry().run(), now),
                        r.statedLoad().pace(now)))
                .toList();
    }

    /**
     * Returns the group whose cached parts a request may use. The configuration in force decides, since the request may
     * have waited while its customer or another one became isolated.
     */
    private String cacheGroup(ServiceRequest request) {
        CacheIsolation isolation = state.config().orElseGet(request::config).cacheIsolation();
        return request.owner()
                .filter(owner -> owner.isolated() || isolation.isIsolated(owner.customer()))
                .map(owner -> isolation.ownGroup(owner.customer()))
                .orElseGet(isolation::sharedGroup);
    }

    private static RequestLevel level(ServiceRequest request, long now) {
        ServiceLevels levels = request.levels();
        return new RequestLevel(
                levels.isMixed(),
                request.route().priority(),
                request.route().limits().latencyTargetMillis(),
                levels.shortestGapMillis(),
                request.routed().deadline() - now);
    }

    private static KvTransferLinks links(EngineSpec engine, RoutingConfig config) {
        return new KvTransferLinks(
                KvTransferLinks.tokensPerMilli(engine.linkMbps(), engine.kvTokenBytes()),
                config.kvCacheStores().stream()
                        .map(s -> new KvTransferLinks.Store(
                                s.address(),
                                s.dataCentre(),
                                KvTransferLinks.tokensPerMilli(s.linkMbps(), engine.kvTokenBytes())))
                        .toList());
    }

    private EngineChooser chooser(String service) {
        return choosers.computeIfAbsent(service, s -> new EngineChooser(priorTraffic));
    }

    /** Records a request that this router, or another router, sent to an engine. */
    void recordSent(RoutingConfig config, LiveReplica replica, long beginning, double storeMillis) {
        long now = clock.monotonicMillis();
        String service = replica.entry().service();
        config.findService(service)
                .flatMap(ServiceSpec::engine)
                .map(engine -> links(engine, config))
                .ifPresent(links -> chooser(service)
                        .recordSent(
                                beginning,
                                replica.entry().run(),
                                replica.load().waitMillis(now),
                                links,
                                storeMillis,
                                now));
    }

    /** Records that an engine did not take a request of this router. */
    void recordRefused(LiveReplica replica, EngineChoice choice) {
        chooser(replica.entry().service())
                .recordRejected(choice.prefixHash(), replica.entry().run());
    }

    /**
     * Returns the cache salt. Prompt parts that were processed with other weights, or for customers of another group,
     * are never found under it.
     */
    private static String salt(Prompt prompt, String group, long version) {
        return prompt.model() + '.' + version + group;
    }

    private Target toTarget(
            KvTransferLinks links, Prompt prompt, String group, EngineChoice choice, LiveReplica replica) {
        long version = choice.engine().weights();
        String salt = salt(prompt, group, version);
        Optional<String> store = links.storeFor(choice.prefixHash()).map(KvTransferLinks.Store::address);
        Optional<String> source =
                choice.fetchFrom().flatMap(registry::byRun).map(r -> r.entry().address());
        return new Target(
                replica,
                Optional.of(new ForwardingOptions.EngineOptions(
                        salt,
                        version,
                        source.or(() -> store.filter(s -> choice.queryStore())),
                        store.filter(s -> choice.saveToStore()))),
                Optional.of(choice),
                choice.reason());
    }
}
