package org.hornbeamhead.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.hornbeamhead.core.admission.AdmissionControl;
import org.hornbeamhead.core.admission.AdmissionDecision;
import org.hornbeamhead.core.admission.BatchQueue;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.core.placement.PlacementChoice;
import org.hornbeamhead.core.placement.PlacementPolicy;
import org.hornbeamhead.core.placement.PlacementTarget;
import org.hornbeamhead.core.placement.ReplicaRing;
import org.hornbeamhead.core.placement.ReplicaTable;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.prefix.PrefixLevel;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.hornbeamhead.standin.engine.BlockChain;
import org.hornbeamhead.standin.engine.EngineModel;
import org.hornbeamhead.standin.engine.EngineRequest;
import org.hornbeamhead.standin.engine.EngineSink;
import org.hornbeamhead.standin.engine.EngineSpeed;
import org.hornbeamhead.standin.load.LoadBound;
import org.hornbeamhead.standin.load.PlannedRequest;
import org.hornbeamhead.standin.load.RequestPlan;
import org.hornbeamhead.standin.load.Workload;

/**
 * Several routers place one workload on stand-in engines in virtual time. Routers share nothing but the engines'
 * lagging load reports; the same seed gives the same run.
 */
final class PolicyBench {
    private static final long REPORT_EVERY_MILLIS = 200;
    private static final long PUMP_EVERY_MILLIS = 20;
    private static final long HIGHEST_MILLIS = 600_000;

    /** One router of the run. */
    private static final class Router {
        private final ReplicaTable table;
        private final PlacementPolicy policy;
        private final AdmissionControl admission;
        private final BatchQueue<PlannedRequest> batch = new BatchQueue<>(100_000);

        Router(ReplicaTable table, PlacementPolicy policy, AdmissionControl admission) {
            this.table = table;
            this.policy = policy;
            this.admission = admission;
        }
    }

    private final PolicyScenario scenario;
    private final PolicyKind kind;
    private final ManualClock clock = new ManualClock(0);
    private final ManualTimers timers = new ManualTimers(clock);
    private final Map<String, EngineModel> engines = new TreeMap<>();
    private final List<Router> routers = new ArrayList<>();
    private final ReplicaRing entryRing;
    private final RequestPlan plan;
    private final LoadBound bound;
    private final Map<String, Histogram> firstToken = new TreeMap<>();
    private long sent;
    private long done;
    private long refused;
    private long promptTokens;
    private long cachedTokens;
    private long nextId;
    private boolean lost;

    PolicyBench(PolicyScenario scenario, PolicyKind kind, long seed) {
        this.scenario = scenario;
        this.kind = kind;
        this.plan = new RequestPlan(scenario.workload(), seed);
        this.bound = new LoadBound(scenario.workload(), EngineSpeed.STANDARD.cacheMillis());
        SplittableRandom random = new SplittableRandom(seed);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < scenario.replicas(); i++) {
            String address = "e" + i;
            engines.put(address, new EngineModel(EngineSpeed.STANDARD, clock, timers));
            endpoints.add(new Endpoint(EndpointKind.ENGINE, "p", address, "", "dc", false));
        }
        List<String> names = new ArrayList<>();
        for (int i = 0; i < scenario.routers(); i++) {
            ReplicaTable table = new ReplicaTable(clock);
            table.setEndpoints(endpoints);
            routers.add(new Router(table, kind.policy(random.split()), new AdmissionControl(random.split())));
            names.add("r" + i);
        }
        entryRing = ReplicaRing.of(names);
    }

    PolicyResult run() {
        report();
        pump();
        scheduleNext(0);
        timers.schedule(scenario.millis() / 2, () -> lost = scenario.loseOne());
        timers.advance(scenario.millis());
        timers.advance(120_000);
        return result();
    }

    private void report() {
        engines.forEach((address, engine) -> {
            boolean gone = lost && address.equals("e0");
            LoadReport report =
                    new LoadReport("i-" + address, "v1", "m", "w", engine.waitingTokens(), engine.streams(), gone);
            routers.forEach(r -> r.table.applyReport(address, report));
        });
        timers.schedule(REPORT_EVERY_MILLIS, this::report);
    }

    private void scheduleNext(double dueMillis) {
        timers.schedule(Math.max(0, (long) dueMillis - clock.monotonicMillis()), () -> {
            if (dueMillis < scenario.millis()) {
                arrive(plan.next((long) dueMillis));
                scheduleNext(dueMillis + plan.pauseMillis(scenario.ratePerSecond()));
            }
        });
    }

    private void arrive(PlannedRequest request) {
        sent++;
        Router router = routers.get(routerOf(request));
        if (isBatch(request)) {
            router.batch.offer(request, clock.monotonicMillis() + scenario.batchMillis());
            return;
        }
        PrefixChain chain = chain(request);
        PlacementTarget target = new PlacementTarget(target(request), false);
        Optional<PlacementChoice> choice = router.policy.choose(router.table, chain, target, Set.of());
        AdmissionDecision decision = router.admission.decideInteractive(
                request.customer(), target, choice.orElseThrow(), clock.monotonicMillis());
        if (kind.admits() && decision instanceof AdmissionDecision.Refuse) {
            refused++;
            return;
        }
        dispatch(router, request, chain, choice.get(), clock.monotonicMillis());
    }

    private void pump() {
        routers.forEach(this::pump);
        timers.schedule(PUMP_EVERY_MILLIS, this::pump);
    }

    private void pump(Router router) {
        boolean more = true;
        while (more && router.batch.peek().isPresent()) {
            PlannedRequest next = router.batch.peek().get();
            PrefixChain chain = chain(next);
            PlacementChoice choice = router.policy
                    .choose(router.table, chain, new PlacementTarget(60_000, true), Set.of())
                    .orElseThrow();
            long now = clock.monotonicMillis();
            more = !kind.admits()
                    || router.admission.decideBatch(scenario.tightestMillis(), choice, router.batch.isUrgent(now), now)
                            instanceof AdmissionDecision.Admit;
            if (more) {
                router.batch.poll();
                dispatch(router, next, chain, choice, now);
            }
        }
    }

    private void dispatch(Router router, PlannedRequest request, PrefixChain chain, PlacementChoice choice, long from) {
        bound.sent(request, clock.monotonicMillis());
        router.table.recordDispatch(chain, choice);
        long at = clock.monotonicMillis();
        EngineRequest engineRequest = new EngineRequest(
                Long.toString(nextId++),
                chain.tokens(),
                blocks(chain),
                request.workClass().answerTokens(),
                0,
                1,
                isBatch(request) ? 10 : 0);
        engines.get(choice.replica().address()).submit(engineRequest, new EngineSink() {
            private int cached;

            @Override
            public void prefilled(int tokens) {
                cached = tokens;
                promptTokens += chain.tokens();
                cachedTokens += tokens;
            }

            @Override
            public void token(int index, String text) {
                if (index == 0) {
                    router.table.recordFirstToken(choice, (double) (clock.monotonicMillis() - at));
                    histogram(request).recordValue(Math.min(HIGHEST_MILLIS, clock.monotonicMillis() - from));
                }
            }

            @Override
            public void finished() {
                done++;
                router.table.recordCompletion(choice, cached);
            }
        });
    }

    private Histogram histogram(PlannedRequest request) {
        return firstToken.computeIfAbsent(
                isBatch(request) ? "batch" : "interactive", k -> new Histogram(HIGHEST_MILLIS, 3));
    }

    private int routerOf(PlannedRequest request) {
        long key = (request.customer() + request.dossier()).hashCode();
        return Integer.parseInt(entryRing.walk(key, 1).get(0).substring(1));
    }

    private boolean isBatch(PlannedRequest request) {
        return scenario.batchClasses().contains(request.workClass().name());
    }

    private double target(PlannedRequest request) {
        return scenario.targets().getOrDefault(request.workClass().name(), scenario.tightestMillis());
    }

    private PrefixChain chain(PlannedRequest request) {
        Workload w = scenario.workload();
        long house = request.customer().hashCode();
        long dossier = ReplicaRing.mix(house, request.dossier() + 1L);
        long question = ReplicaRing.mix(dossier, 1_000_000L + request.number());
        int houseEnd = w.houseTokens();
        int dossierEnd = houseEnd + w.dossierTokens();
        return new PrefixChain(List.of(
                new PrefixLevel(house, houseEnd),
                new PrefixLevel(dossier, dossierEnd),
                new PrefixLevel(question, dossierEnd + request.workClass().questionTokens())));
    }

    private static BlockChain blocks(PrefixChain chain) {
        long[] keys = chain.levels().stream().mapToLong(PrefixLevel::key).toArray();
        int[] ends = chain.levels().stream().mapToInt(PrefixLevel::tokens).toArray();
        return BlockChain.ofLevels(keys, ends);
    }

    private PolicyResult result() {
        Histogram interactive = firstToken.getOrDefault("interactive", new Histogram(HIGHEST_MILLIS, 3));
        long recomputed = promptTokens - cachedTokens;
        return new PolicyResult(
                kind.label(),
                sent,
                done,
                refused,
                promptTokens == 0 ? 0 : (double) cachedTokens / promptTokens,
                (double) recomputed / bound.tokens(),
                interactive.getValueAtPercentile(50),
                interactive.getValueAtPercentile(95),
                interactive.getValueAtPercentile(99));
    }
}
