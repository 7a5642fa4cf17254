package org.hornbeamhead.core.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/**
 * Simulates a load on engines in virtual time. The chooser and the admission decide, and engines prefill prompts in
 * chunks between the tokens of running answers, with the figures of the deployments. Several routers choose, each by
 * what it knows: its own work at once, that of the others a little later. The same seed gives the same run.
 */
final class EngineSimulation {
    /** A kind of request: its rate, the lengths of its prompts and answers, and when it is late. */
    record Workload(
            String name,
            double requestsPerSecond,
            int sharedTokens,
            int dossiers,
            int ownTokens,
            int meanOutput,
            double outputSigma,
            int targetMillis,
            int priority) {
        Workload(
                String name,
                double requestsPerSecond,
                int sharedTokens,
                int dossiers,
                int ownTokens,
                int meanOutput,
                double outputSigma,
                int targetMillis) {
            this(name, requestsPerSecond, sharedTokens, dossiers, ownTokens, meanOutput, outputSigma, targetMillis, 0);
        }
    }

    /**
     * What engines do: requests at once, tokens of a prefill chunk, time of a step, tokens of an event, the longest
     * pause on time, and the share of time in which the engine takes 2.5 times as long.
     */
    record EngineFigures(
            int slots,
            int chunkTokens,
            double stepMillis,
            double stepMillisPerRequest,
            int eventTokens,
            int maxPauseMillis,
            double noiseShare) {
        static final EngineFigures FIRST = new EngineFigures(64, 4_096, 3.4, 0.017, 7, 500, 0);

        EngineFigures withSlots(int count) {
            return new EngineFigures(
                    count, chunkTokens, stepMillis, stepMillisPerRequest, eventTokens, maxPauseMillis, noiseShare);
        }
    }

    /** How callers state the lengths of answers: the mean, as the first callers did, or a maximum and an estimate. */
    record StatedLengths(int maxTokensOfLongPrompts, int maxTokensOfShortPrompts, boolean hints) {
        int maxOf(Workload workload) {
            return workload.sharedTokens() > LONG_SHARED_TOKENS ? maxTokensOfLongPrompts : maxTokensOfShortPrompts;
        }
    }

    /** The outcomes of the requests of one workload. */
    record Results(int requests, int onTime, int late, int rejectedByRouter, int rejectedByEngine) {
        double onTimeShare() {
            return (double) onTime / Math.max(1, requests);
        }
    }

    private static final double NOISE_FACTOR = 2.5;
    private static final double NOISE_MILLIS = 600;
    /** Standard deviation of the logarithm of callers' estimates. */
    private static final double HINT_SIGMA = 0.5;
    /** Prompts with more shared tokens are long. */
    private static final int LONG_SHARED_TOKENS = 2_000;

    /** Number of requests that wait at an engine for a slot; it rejects any more. */
    private static final int MAX_QUEUED = 4;

    private static final int MEMORY_TOKENS = 94_571;
    private static final long TOKEN_BYTES = 163_840;
    private static final KvTransferLinks LINKS =
            new KvTransferLinks(KvTransferLinks.tokensPerMilli(530_000, TOKEN_BYTES), List.of());
    private static final long TIME_LEFT_MILLIS = 5_000;
    private static final double OWN_TOKENS_SIGMA = 1.0;
    private static final double MAX_OUTPUT_FACTOR = 4.0;
    private static final int DEFAULT_HINT_DELAY_MILLIS = 30;
    /** Interval at which routers send their work at each engine. */
    private static final int LOAD_INTERVAL_MILLIS = 40;

    private final EngineFigures figures;
    private Optional<StatedLengths> statedLengths = Optional.empty();
    private boolean mixed;
    /**
     * Delay until other routers know of a request that a router sent: the transfer and the average time until it is
     * sent.
     */
    private int hintDelayMillis = DEFAULT_HINT_DELAY_MILLIS;

    private final Random random;
    private final List<Workload> workloads;
    private final List<Router> routers = new ArrayList<>();
    private final Deque<SentHint> hints = new ArrayDeque<>();
    private final List<Engine> engines = new ArrayList<>();
    private final Map<Workload, int[]> counts = new HashMap<>();
    private int nextId;
    private long countedFromMillis;

    /** One router's view of the engines. */
    private static final class Router {
        private final String name;
        private final EngineChooser chooser = new EngineChooser(false);
        private final Map<String, EngineLoad> loads = new HashMap<>();

        Router(String name) {
            this.name = name;
        }

        EngineLoad load(String engine) {
            return loads.computeIfAbsent(engine, e -> new EngineLoad());
        }

        void receiveHint(EngineChoice choice, long now) {
            EngineLoad load = load(choice.engine().id());
            load.recordHint(choice.prefillMillis(), now);
            recordSent(choice, now);
        }

        void recordSent(EngineChoice choice, long now) {
            String engine = choice.engine().id();
            chooser.recordSent(
                    choice.prefixHash(), engine, load(engine).waitMillis(now), LINKS, choice.storeMillis(), now);
        }

        void receiveLoad(Router other, long now) {
            other.loads.forEach((engine, l) ->
                    load(engine).recordHint(other.name, l.ownRequests(), l.ownLongAnswers(), l.ownMemoryTokens(), now));
        }
    }

    private record SentHint(Router from, EngineChoice choice, long at) {}

    private static final class Running {
        private final String id;
        private final Router router;
        private final Workload workload;
        private final long arrivedAt;
        private final int output;
        private final int tokens;
        private int remainingPrefill;
        private int prefilled;
        private int producedTokens;
        private double lastEventAt;
        private boolean late;

        Running(
                String id,
                Router router,
                Workload workload,
                long arrivedAt,
                int output,
                int prefilled,
                int remainingPrefill) {
            this.id = id;
            this.router = router;
            this.workload = workload;
            this.arrivedAt = arrivedAt;
            this.output = output;
            this.prefilled = prefilled;
            this.remainingPrefill = remainingPrefill;
            this.tokens = prefilled + remainingPrefill + this.output;
            this.lastEventAt = arrivedAt;
        }
    }

    private final class Engine {
        private final String id;
        private final Set<String> cachedPrefixes = new HashSet<>();
        private final List<Running> waiting = new ArrayList<>();
        private final List<Running> running = new ArrayList<>();
        private double now;
        private double paceUntil;
        private double pace = 1;

        Engine(String id) {
            this.id = id;
        }

        /** Runs the engine until the given time. */
        void runUntil(double end) {
            while (now < end) {
                admit();
                if (running.isEmpty()) {
                    now = end;
                    return;
                }
                step();
            }
        }

        private void admit() {
            int used = running.stream().mapToInt(r -> r.tokens).sum();
            while (!waiting.isEmpty()
                    && running.size() < figures.slots()
                    && used + waiting.get(0).tokens <= MEMORY_TOKENS) {
                used += waiting.get(0).tokens;
                running.add(waiting.remove(0));
            }
        }

        private void step() {
            double millis = figures.stepMillis() + figures.stepMillisPerRequest() * running.size();
            int budget = figures.chunkTokens();
            List<Running> decoding = new ArrayList<>();
            for (Running r : running) {
                int chunk = Math.min(budget, r.remainingPrefill);
                millis += PrefillCost.prefillMillis(r.prefilled, chunk);
                r.prefilled += chunk;
                r.remainingPrefill -= chunk;
                budget -= chunk;
                if (r.remainingPrefill == 0) {
                    decoding.add(r);
                }
            }
            now += millis * pace();
            decoding.forEach(this::produceToken);
            running.removeIf(r -> r.producedTokens >= r.output);
        }

        private double pace() {
            if (figures.noiseShare() > 0 && now >= paceUntil) {
                pace = random.nextDouble() < figures.noiseShare() ? NOISE_FACTOR : 1;
                paceUntil = now + NOISE_MILLIS;
            }
            return pace;
        }

        private void produceToken(Running r) {
            r.producedTokens++;
            if (r.producedTokens == 1) {
                r.router.load(id).recordFirstEvent(r.id, Math.round(now));
                r.late = now - r.arrivedAt > r.workload.targetMillis();
                r.lastEventAt = now;
            } else if ((r.producedTokens - 1) % figures.eventTokens() == 0) {
                r.late |= now - r.lastEventAt > figures.maxPauseMillis();
                r.lastEventAt = now;
            }
            if (r.producedTokens >= r.output) {
                r.router.load(id).recordEnded(r.id);
                if (r.arrivedAt >= countedFromMillis) {
                    counts.get(r.workload)[r.late ? 2 : 1]++;
                }
            }
        }
    }

    EngineSimulation(int engineCount, int routerCount, List<Workload> workloads, long seed) {
        this(engineCount, EngineFigures.FIRST, routerCount, workloads, seed);
    }

    EngineSimulation(int engineCount, int slots, int routerCount, List<Workload> workloads, long seed) {
        this(engineCount, EngineFigures.FIRST.withSlots(slots), routerCount, workloads, seed);
    }

    EngineSimulation(int engineCount, EngineFigures figures, int routerCount, List<Workload> workloads, long seed) {
        this.figures = figures;
        this.workloads = workloads;
        this.random = new Random(seed);
        for (int i = 0; i < engineCount; i++) {
            engines.add(new Engine("e" + i));
        }
        for (int i = 0; i < routerCount; i++) {
            routers.add(new Router("r" + i));
        }
        workloads.forEach(workload -> counts.put(workload, new int[5]));
    }

    /** Sets the delay of hints between routers, and returns this simulation. */
    EngineSimulation withHintDelay(int millis) {
        hintDelayMillis = millis;
        return this;
    }

    /** Sets how callers state the lengths of answers, and whether placement is for a mixed service. */
    EngineSimulation withLengths(StatedLengths lengths, boolean mixedService) {
        statedLengths = Optional.of(lengths);
        mixed = mixedService;
        return this;
    }

    /** Simulates the load for a time and returns the results of each workload by its name. */
    Map<String, Results> run(long millis) {
        return runAfterBurst(0, 1, millis);
    }

    /** Simulates a burst, then the usual load for a time, and returns the results of the requests after the burst. */
    Map<String, Results> runAfterBurst(long burstMillis, double factor, long millis) {
        countedFromMillis = burstMillis;
        Map<Workload, Double> nextArrivals = new HashMap<>();
        workloads.forEach(workload -> nextArrivals.put(workload, nextGapMillis(workload)));
        for (long now = 0; now < burstMillis + millis; now++) {
            long at = now;
            double rateFactor = now < burstMillis ? factor : 1;
            engines.forEach(e -> e.runUntil((double) at));
            deliverHints(at);
            for (Workload workload : workloads) {
                while (nextArrivals.get(workload) <= now) {
                    nextArrivals.merge(workload, nextGapMillis(workload) / rateFactor, Double::sum);
                    handleArrival(workload, now);
                }
            }
        }
        engines.forEach(e -> e.runUntil((double) (burstMillis + millis + 2 * TIME_LEFT_MILLIS)));
        Map<String, Results> results = new HashMap<>();
        counts.forEach((workload, count) ->
                results.put(workload.name(), new Results(count[0], count[1], count[2], count[3], count[4])));
        return results;
    }

    private void deliverHints(long now) {
        while (!hints.isEmpty() && hints.peekFirst().at() <= now) {
            SentHint hint = hints.removeFirst();
            routers.stream().filter(r -> r != hint.from()).forEach(r -> r.receiveHint(hint.choice(), now));
        }
        if (now % (LOAD_INTERVAL_MILLIS + hintDelayMillis - DEFAULT_HINT_DELAY_MILLIS) == 0) {
            routers.forEach(from -> routers.stream().filter(r -> r != from).forEach(r -> r.receiveLoad(from, now)));
        }
    }

    private double nextGapMillis(Workload workload) {
        return -Math.log(1 - random.nextDouble()) * 1_000 / workload.requestsPerSecond();
    }

    /** Returns a log-normal sample with the given mean. */
    private double sampleLogNormal(double mean, double sigma) {
        return mean * Math.exp(random.nextGaussian() * sigma - sigma * sigma / 2);
    }

    private void handleArrival(Workload workload, long now) {
        if (now >= countedFromMillis) {
            counts.get(workload)[0]++;
        }
        int dossier = random.nextInt(workload.dossiers());
        int own = 1 + (int) sampleLogNormal(workload.ownTokens(), OWN_TOKENS_SIGMA);
        int output = (int) Math.max(
                1,
                Math.min(
                        workload.meanOutput() * MAX_OUTPUT_FACTOR,
                        sampleLogNormal(workload.meanOutput(), workload.outputSigma())));
        String sharedId = workload.name() + dossier;
        Prompt prompt = new Prompt(
                "m",
                List.of(
                        new PromptPart(workload.name(), workload.sharedTokens() / 3),
                        new PromptPart(sharedId, workload.sharedTokens() - workload.sharedTokens() / 3),
                        new PromptPart("own", own)),
                statedLengths.map(l -> l.maxOf(workload)).orElse(workload.meanOutput()),
                hint(output));
        Router router = routers.get(random.nextInt(routers.size()));
        List<EngineCandidate> candidates = engines.stream()
                .map(e -> new EngineCandidate(
                        e.id,
                        "z",
                        1,
                        true,
                        router.load(e.id),
                        MEMORY_TOKENS,
                        figures.slots(),
                        false,
                        Long.MAX_VALUE,
                        false))
                .toList();
        Optional<EngineChoice> choice = router.chooser.choose(prompt, level(workload), c -> 0, candidates, LINKS, now);
        OptionalLong retryAfter =
                EngineAdmission.retryAfterMillis(choice.orElseThrow(), workload.targetMillis(), TIME_LEFT_MILLIS);
        if (retryAfter.isPresent()) {
            counts.get(workload)[3] += now >= countedFromMillis ? 1 : 0;
        } else {
            send(router, workload, prompt, choice.get(), sharedId, output, now);
        }
    }

    private OptionalInt hint(int output) {
        return statedLengths.filter(StatedLengths::hints).isPresent()
                ? OptionalInt.of((int)
                        Math.max(1, output * figures.eventTokens() * Math.exp(random.nextGaussian() * HINT_SIGMA)))
                : OptionalInt.empty();
    }

    private RequestLevel level(Workload workload) {
        return new RequestLevel(
                mixed, workload.priority(), workload.targetMillis(), figures.maxPauseMillis(), TIME_LEFT_MILLIS);
    }

    private void send(
            Router router,
            Workload workload,
            Prompt prompt,
            EngineChoice choice,
            String sharedId,
            int output,
            long now) {
        Engine engine = engines.stream()
                .filter(e -> e.id.equals(choice.engine().id()))
                .findFirst()
                .orElseThrow();
        if (engine.running.size() + engine.waiting.size() >= figures.slots() + MAX_QUEUED) {
            counts.get(workload)[4] += now >= countedFromMillis ? 1 : 0;
            return;
        }
        String id = "r" + nextId++;
        router.load(engine.id).recordSent(id, choice.prefillMillis(), prompt.memoryTokens(), choice.longAnswer(), now);
        router.recordSent(choice, now);
        hints.addLast(new SentHint(router, choice, now + hintDelayMillis));
        boolean isCached =
                !engine.cachedPrefixes.add(sharedId) || choice.fetchFrom().isPresent();
        int prefilled = isCached ? prompt.sharedTokens() : 0;
        Running r = new Running(
                id,
                router,
                workload,
                now,
                1 + (output - 1) * figures.eventTokens(),
                prefilled,
                prompt.tokens() - prefilled);
        int urgent = (int) engine.waiting.stream()
                .filter(w -> w.workload.priority() <= workload.priority())
                .count();
        engine.waiting.add(urgent, r);
    }
}
