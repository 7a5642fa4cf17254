package org.hornbeamhead.gateway.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamhead.core.engine.CacheLinks;
import org.hornbeamhead.core.engine.EngineCandidate;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.core.engine.EngineChooser;
import org.hornbeamhead.core.engine.Prompt;
import org.hornbeamhead.core.route.EngineSpec;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.core.route.ServiceSpec;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.WeightsView;

/** Picks the replica for a try: the decisions are the chooser's, this gathers what they need. */
final class TargetPicker {
    private final Clock clock;
    private final ReplicaRegistry registry;
    private final WeightsView weights;
    private final String dataCentre;
    private final boolean inherits;
    private final Map<String, EngineChooser> choosers = new HashMap<>();

    TargetPicker(Clock clock, ReplicaRegistry registry, WeightsView weights, String dataCentre, boolean inherits) {
        this.clock = clock;
        this.registry = registry;
        this.weights = weights;
        this.dataCentre = dataCentre;
        this.inherits = inherits;
    }

    Optional<Target> pick(
            RoutingConfig config,
            ServiceSpec service,
            CallerRequest request,
            Optional<KeyOwner> owner,
            Set<String> tried) {
        List<LiveReplica> usable = usable(service, tried);
        return service.engine().isPresent() && request.prompt().isPresent()
                ? engine(config, service, request.prompt().get(), owner, usable)
                : plain(usable);
    }

    boolean anyLeft(ServiceSpec service, Set<String> tried) {
        return registry.acceptingReplicas(service.name()).stream()
                .anyMatch(r -> !tried.contains(r.entry().run()));
    }

    /** Replicas that failed lately are left out, unless that would leave none. */
    private List<LiveReplica> usable(ServiceSpec service, Set<String> tried) {
        long now = clock.monotonicMillis();
        List<LiveReplica> all = registry.acceptingReplicas(service.name()).stream()
                .filter(r -> !tried.contains(r.entry().run()))
                .toList();
        List<LiveReplica> sound =
                all.stream().filter(r -> !r.guard().ejected(now)).toList();
        return sound.isEmpty() ? all : sound;
    }

    private Optional<Target> plain(List<LiveReplica> usable) {
        long now = clock.monotonicMillis();
        return usable.stream()
                .min(Comparator.comparingInt((LiveReplica r) -> r.load().total(now))
                        .thenComparing(r -> !r.entry().dataCentre().equals(dataCentre))
                        .thenComparingInt(r -> r.connections().openCount()))
                .map(r -> new Target(r, Optional.empty(), Optional.empty(), "least load"));
    }

    private Optional<Target> engine(
            RoutingConfig config,
            ServiceSpec service,
            Prompt prompt,
            Optional<KeyOwner> owner,
            List<LiveReplica> usable) {
        long now = clock.monotonicMillis();
        Map<String, LiveReplica> byId = new HashMap<>();
        usable.forEach(r -> byId.put(r.entry().run(), r));
        EngineSpec spec = service.engine().orElseThrow();
        CacheLinks links = links(spec, config);
        List<EngineCandidate> candidates = usable.stream()
                .map(r -> new EngineCandidate(
                        r.entry().run(),
                        r.entry().dataCentre(),
                        r.weightsVersion(prompt.model()),
                        weights.settled(prompt.model(), r.weightsVersion(prompt.model()), now),
                        r.load(),
                        spec.memoryTokens(),
                        r.entry().slots(),
                        weights.penalized(prompt.model(), r.weightsVersion(prompt.model()), now),
                        weights.usableMillis(prompt.model(), r.weightsVersion(prompt.model()), now),
                        weights.steered(r.entry().run(), now)))
                .toList();
        String wall = owner.filter(KeyOwner::isolated).map(KeyOwner::customer).orElse("");
        return chooser(service.name())
                .choose(prompt, c -> salt(prompt, wall, c.weights()).hashCode(), candidates, links, now)
                .map(choice -> target(
                        links, prompt, wall, choice, byId.get(choice.engine().id())));
    }

    private static CacheLinks links(EngineSpec engine, RoutingConfig config) {
        return new CacheLinks(
                CacheLinks.tokensPerMilli(engine.linkMbps(), engine.tokenBytes()),
                config.promptStores().stream()
                        .map(s -> new CacheLinks.Store(
                                s.address(),
                                s.dataCentre(),
                                CacheLinks.tokensPerMilli(s.linkMbps(), engine.tokenBytes())))
                        .toList());
    }

    private EngineChooser chooser(String service) {
        return choosers.computeIfAbsent(service, s -> new EngineChooser(inherits));
    }

    /** A request went to an engine: of this router, or as another router tells. */
    void sent(RoutingConfig config, LiveReplica replica, long beginning, double storeMillis) {
        long now = clock.monotonicMillis();
        String service = replica.entry().service();
        config.service(service)
                .flatMap(ServiceSpec::engine)
                .map(engine -> links(engine, config))
                .ifPresent(links -> chooser(service)
                        .sent(
                                beginning,
                                replica.entry().run(),
                                replica.load().waitMillis(now),
                                links,
                                storeMillis,
                                now));
    }

    /** An engine did not take a request of this router. */
    void refused(LiveReplica replica, EngineChoice choice) {
        chooser(replica.entry().service())
                .refused(choice.beginning(), replica.entry().run());
    }

    /** Parts that were read for other weights, or for an isolated customer, are never found under this text. */
    private static String salt(Prompt prompt, String wall, long version) {
        return prompt.model() + '.' + version + (wall.isEmpty() ? "" : '.' + wall);
    }

    private Target target(CacheLinks links, Prompt prompt, String wall, EngineChoice choice, LiveReplica replica) {
        long version = choice.engine().weights();
        String salt = salt(prompt, wall, version);
        Optional<String> store = links.store(choice.beginning()).map(CacheLinks.Store::address);
        Optional<String> from =
                choice.fetchFrom().flatMap(registry::byRun).map(r -> r.entry().address());
        return new Target(
                replica,
                Optional.of(new SendOrder.EngineOrder(
                        salt,
                        version,
                        from.or(() -> store.filter(s -> choice.askStore())),
                        store.filter(s -> choice.save()))),
                Optional.of(choice),
                choice.why());
    }
}
