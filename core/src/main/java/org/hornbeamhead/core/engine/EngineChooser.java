package org.hornbeamhead.core.engine;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses the engine of a request: the one with the lowest predicted time to the first event plus the cost of
 * prefilling what another engine has prefilled before.
 *
 * <p>Every router computes the same order of engines from a prompt's shared prefix, so that long shared prefixes are
 * cached by few engines each, even before hints from other routers arrive. Owned by one thread.
 */
public final class EngineChooser {
    /**
     * Delay by each other request at an engine: 0.017 ms per step of a batch in the deployments, over about 35 steps of
     * a stream.
     */
    private static final double MILLIS_PER_REQUEST = 0.6;
    /** Share of an engine's memory that running requests may take before new ones wait for one of them to end. */
    private static final double MAX_MEMORY_SHARE = 0.9;
    /** Typical time of a request from its start to its end; determines how fast memory and slots become free. */
    private static final double TYPICAL_REQUEST_MILLIS = 500;
    /**
     * Cost of an engine without a free slot, besides the wait. Such an engine rejects the request, which is then
     * retried elsewhere, late and at the expense of the shared retry budget. The cost is about that of a round trip and
     * a retry.
     */
    private static final double NO_SLOT_MILLIS = 200;
    /** Extra cost of any engine but the home, so that small differences do not move a request. */
    private static final double NOT_HOME_MILLIS = 10;
    /** Cost of an engine that is about to change its weights: it rejects requests, or they delay its change. */
    private static final double WEIGHT_CHANGE_MILLIS = 5_000;
    /** Cost of superseded weights: answers on them are worth a fifth less, as if a fifth of them were late. */
    private static final double SUPERSEDED_MILLIS = 400;

    /**
     * Cost of a prefill to each stream that runs at the engine, due to longer steps, as a factor of the prefill time.
     */
    private static final double INTERFERENCE_FACTOR = 0.02;
    /** Cost for a long answer of the prefill work that is queued at an engine, besides the wait itself. */
    private static final double PAUSE_FACTOR = 1.0;

    private static final double START_FACTOR = 1.5;

    /** Number of engines that are evaluated for a request; the small deployments have no more. */
    private static final int MAX_CONSIDERED = 8;
    /** Groups of further engines that are evaluated for a request that none of the first ones accepts. */
    private static final int MAX_FURTHER_GROUPS = 3;
    /** In very large services, one in this many engines is evaluated. */
    private static final int CONSIDERED_DIVISOR = 100;

    /** Key that ranks the engines for long answers. */
    private static final String LONG_ANSWERS_KEY = "long answers";

    private final PrefixCacheTracker tracker;
    private final RecentAnswerPriority answerPriority = new RecentAnswerPriority();

    /**
     * What is the same for all engines that are evaluated for a request.
     *
     * @param prevails whether the request is not charged for delaying long answers
     * @param home the engine that every router would send the prompt to first
     */
    private record Placement(
            Prompt prompt,
            boolean longAnswer,
            boolean prevails,
            String home,
            LongAnswerEngines longAnswerEngines,
            PrefixSources sources,
            long nowMillis) {}

    /**
     * Creates a chooser that knows of no cached prefixes.
     *
     * @param storeFilled whether the KV store may have been filled before
     */
    public EngineChooser(boolean storeFilled) {
        this.tracker = new PrefixCacheTracker(storeFilled);
    }

    private EngineChooser(PrefixCacheTracker tracker) {
        this.tracker = tracker;
    }

    /**
     * Evaluates all engines as {@link #choose} would, and changes nothing. The first engine without an exclusion is the
     * one that would be chosen.
     *
     * @param prompt the prompt
     * @param level what the request asks of placement
     * @param salt returns the salt of an engine's cached blocks
     * @param candidates the usable engines
     * @param links the links over which cached blocks are transferred
     * @param nowMillis the monotonic time
     * @return the evaluations, the lowest cost first
     */
    public List<EngineEvaluation> evaluations(
            Prompt prompt,
            RequestLevel level,
            ToLongFunction<EngineCandidate> salt,
            List<EngineCandidate> candidates,
            KvTransferLinks links,
            long nowMillis) {
        if (candidates.isEmpty()) {
            return List.of();
        }
        long prefixHash = hash(prompt.sharedKey());
        Set<Long> prefixes =
                candidates.stream().map(c -> prefixHash ^ salt.applyAsLong(c)).collect(Collectors.toSet());
        EngineChooser reader = new EngineChooser(tracker.copyOf(prefixes));
        Placement placement = placement(prompt, level, reader.tracker, candidates, links, nowMillis);
        Function<EngineCandidate, EngineChoice> evaluate =
                c -> reader.evaluate(placement, prefixHash ^ salt.applyAsLong(c), c);
        PlacementExclusions exclusions = exclusions(level, placement, candidates, evaluate);
        // The sort is stable, so that of equal costs the same engine comes first as in the choice.
        return Stream.concat(
                        exclusions.compared().stream(),
                        candidates.stream().filter(c -> !exclusions.compared().contains(c)))
                .map(evaluate)
                .sorted(Comparator.comparingDouble(EngineChoice::cost))
                .map(choice -> new EngineEvaluation(choice, exclusions.of(choice)))
                .toList();
    }

    /**
     * Which engines are not chosen whatever their cost.
     *
     * @param compared the engines whose costs are compared
     * @param unchanging the engines that are not about to change their weights
     * @param condition the condition for a choice
     */
    private record PlacementExclusions(
            List<EngineCandidate> compared, List<EngineCandidate> unchanging, Predicate<EngineChoice> condition) {
        Optional<PlacementExclusion> of(EngineChoice choice) {
            if (!compared.contains(choice.engine())) {
                return Optional.of(
                        unchanging.contains(choice.engine())
                                ? PlacementExclusion.NOT_CONSIDERED
                                : PlacementExclusion.WEIGHT_CHANGE_PENDING);
            }
            if (!startsInTime(choice)) {
                return Optional.of(PlacementExclusion.WEIGHTS_EXPIRE);
            }
            return condition.test(choice) ? Optional.empty() : Optional.of(PlacementExclusion.LATE);
        }
    }

    /** Returns the exclusions that follow from the steps of {@link #choose}. */
    private static PlacementExclusions exclusions(
            RequestLevel level,
            Placement placement,
            List<EngineCandidate> candidates,
            Function<EngineCandidate, EngineChoice> evaluate) {
        List<EngineCandidate> considered = considered(placement, candidates);
        List<EngineCandidate> unchanging = withoutPendingChange(candidates);
        Optional<List<EngineCandidate>> accepting = level.mixed()
                ? groups(considered, inRankOrder(placement.prompt().sharedKey(), candidates))
                        .filter(group ->
                                best(group.stream(), evaluate, level::accepts).isPresent())
                        .findFirst()
                : Optional.empty();
        return accepting
                .map(group -> new PlacementExclusions(group, unchanging, level::accepts))
                .orElseGet(() -> new PlacementExclusions(
                        best(considered.stream(), evaluate).isPresent() ? considered : unchanging,
                        unchanging,
                        choice -> true));
    }

    /** Returns what is the same for all engines; records nothing. */
    private Placement placement(
            Prompt prompt,
            RequestLevel level,
            PrefixCacheTracker prefixes,
            List<EngineCandidate> candidates,
            KvTransferLinks links,
            long nowMillis) {
        Map<String, EngineCandidate> byId =
                candidates.stream().collect(Collectors.toMap(EngineCandidate::id, Function.identity()));
        PrefixSources sources = new PrefixSources(prefixes, links, id -> Optional.ofNullable(byId.get(id)), nowMillis);
        LongAnswerEngines longAnswerEngines = LongAnswerEngines.of(
                candidates, id -> rank(LONG_ANSWERS_KEY, id), packing(level, candidates), nowMillis);
        boolean longAnswer = level.isLongAnswer(prompt);
        boolean prevails = level.mixed() && !longAnswer && answerPriority.isBelow(level.priority(), nowMillis);
        Stream<String> homeCandidates = longAnswer ? longAnswerEngines.preferred().stream() : byId.keySet().stream();
        String home = homeCandidates
                .max(Comparator.comparingLong(id -> rank(prompt.sharedKey(), id)))
                .orElseThrow();
        return new Placement(prompt, longAnswer, prevails, home, longAnswerEngines, sources, nowMillis);
    }

    /**
     * Chooses the engine for a prompt of which nothing else is regarded.
     *
     * @param prompt the prompt
     * @param salt returns the salt that separates an engine's cached blocks from those of other customers and weights,
     *     by version
     * @param candidates the usable engines
     * @param links the links over which cached blocks are transferred
     * @param nowMillis the monotonic time
     * @return the choice, empty when no candidate can start the request in time
     */
    public Optional<EngineChoice> choose(
            Prompt prompt,
            ToLongFunction<EngineCandidate> salt,
            List<EngineCandidate> candidates,
            KvTransferLinks links,
            long nowMillis) {
        return choose(prompt, RequestLevel.UNIFORM, salt, candidates, links, nowMillis);
    }

    /**
     * Chooses the engine for a prompt.
     *
     * @param prompt the prompt
     * @param level what the request asks of placement
     * @param salt returns the salt that separates an engine's cached blocks from those of other customers and weights,
     *     by version
     * @param candidates the usable engines
     * @param links the links over which cached blocks are transferred
     * @param nowMillis the monotonic time
     * @return the choice, empty when no candidate can start the request in time
     */
    public Optional<EngineChoice> choose(
            Prompt prompt,
            RequestLevel level,
            ToLongFunction<EngineCandidate> salt,
            List<EngineCandidate> candidates,
            KvTransferLinks links,
            long nowMillis) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        String sharedKey = prompt.sharedKey();
        long prefixHash = hash(sharedKey);
        Placement placement = placement(prompt, level, tracker, candidates, links, nowMillis);
        if (placement.longAnswer()) {
            answerPriority.record(level.priority(), nowMillis);
        }
        Function<EngineCandidate, EngineChoice> evaluate =
                candidate -> evaluate(placement, prefixHash ^ salt.applyAsLong(candidate), candidate);
        List<EngineCandidate> considered = considered(placement, candidates);
        Optional<EngineChoice> accepted = level.mixed()
                ? firstAccepting(level, considered, inRankOrder(sharedKey, candidates), evaluate)
                : Optional.empty();
        return accepted.or(() -> best(considered.stream(), evaluate))
                .or(() -> best(withoutPendingChange(candidates).stream(), evaluate));
    }

    private static AnswerPacking packing(RequestLevel level, List<EngineCandidate> candidates) {
        int slots = candidates.stream().mapToInt(EngineCandidate::slots).min().orElse(1);
        return level.mixed() ? AnswerPacking.of(slots, level.gapMillis()) : AnswerPacking.COMMON;
    }

    /**
     * Returns the best choice at which the request is accepted: among the considered engines, else among the next ones
     * in rank, a few at a time. The cheapest engine may be cheap for its new weights or its cached prefix, and too
     * late.
     */
    private static Optional<EngineChoice> firstAccepting(
            RequestLevel level,
            List<EngineCandidate> considered,
            List<EngineCandidate> ranked,
            Function<EngineCandidate, EngineChoice> evaluate) {
        return groups(considered, ranked)
                .flatMap(group -> best(group.stream(), evaluate, level::accepts).stream())
                .findFirst();
    }

    /** Returns the considered engines, then the groups of further ones in rank. */
    private static Stream<List<EngineCandidate>> groups(
            List<EngineCandidate> considered, List<EngineCandidate> ranked) {
        List<EngineCandidate> others =
                ranked.stream().filter(c -> !considered.contains(c)).toList();
        Stream<List<EngineCandidate>> further = IntStream.range(0, MAX_FURTHER_GROUPS)
                .mapToObj(i -> others.stream()
                        .skip((long) i * MAX_CONSIDERED)
                        .limit(MAX_CONSIDERED)
                        .toList());
        return Stream.concat(Stream.of(considered), further);
    }

    private static Optional<EngineChoice> best(
            Stream<EngineCandidate> engines, Function<EngineCandidate, EngineChoice> evaluate) {
        return best(engines, evaluate, choice -> true);
    }

    private static Optional<EngineChoice> best(
            Stream<EngineCandidate> engines,
            Function<EngineCandidate, EngineChoice> evaluate,
            Predicate<EngineChoice> condition) {
        return engines.map(evaluate)
                .filter(EngineChooser::startsInTime)
                .filter(condition)
                .min(Comparator.comparingDouble(EngineChoice::cost));
    }

    /** Returns the engines that are not about to change their weights, or all of them when there are none. */
    private static List<EngineCandidate> withoutPendingChange(List<EngineCandidate> candidates) {
        List<EngineCandidate> remaining = candidates.stream()
                .filter(candidate -> !candidate.weightChangePending())
                .toList();
        return remaining.isEmpty() ? candidates : remaining;
    }

    /**
     * Returns the engines to evaluate for a request.
     *
     * <p>With many routers, hints are a tenth of a second old, so that all routers see the same engine idle, twenty
     * requests go there at once, and they wait for a second. In a large service each prefix therefore has a few engines
     * of its own: two requests rarely evaluate the same ones, and the cached copies of a prefix stay on these. When
     * none of them can start a request in time, all engines are evaluated, since few may have the new weights when the
     * superseded ones are about to expire.
     */
    private static List<EngineCandidate> considered(Placement placement, List<EngineCandidate> candidates) {
        if (placement.longAnswer()) {
            return candidates.stream()
                    .filter(placement.longAnswerEngines()::isEligible)
                    .toList();
        }
        return inRankOrder(placement.prompt().sharedKey(), candidates).stream()
                .limit(Math.max(MAX_CONSIDERED, candidates.size() / CONSIDERED_DIVISOR))
                .toList();
    }

    private static List<EngineCandidate> inRankOrder(String sharedKey, List<EngineCandidate> candidates) {
        List<EngineCandidate> usable =
                candidates.size() <= MAX_CONSIDERED ? candidates : withoutPendingChange(candidates);
        return usable.stream()
                .sorted(Comparator.comparingLong((EngineCandidate candidate) -> -rank(sharedKey, candidate.id())))
                .toList();
    }

    /**
     * Records that a request was sent to an engine, by this router or another.
     *
     * @param prefixHash a hash of the shared prefix with its salt
     * @param engine the engine
     * @param readyAfterMillis the predicted time until the engine has prefilled it, in milliseconds from now
     * @param links the links over which cached blocks are transferred
     * @param storeMillis how long the fetch occupies the store's link, in milliseconds
     * @param nowMillis the monotonic time
     */
    public void recordSent(
            long prefixHash,
            String engine,
            double readyAfterMillis,
            KvTransferLinks links,
            double storeMillis,
            long nowMillis) {
        tracker.recordSent(prefixHash, engine, nowMillis + Math.round(readyAfterMillis));
        links.storeFor(prefixHash).ifPresent(store -> tracker.recordFetch(store.address(), storeMillis, nowMillis));
        tracker.recordSaved(prefixHash, nowMillis);
    }

    /**
     * Returns whether a request starts before its engine's weights expire, with a margin of half the predicted time.
     * Without the check, a request could wait at an engine with superseded weights and be answered on weights that are
     * out of use.
     */
    private static boolean startsInTime(EngineChoice choice) {
        return choice.predictedMillis() * START_FACTOR < choice.engine().usableMillis();
    }

    /**
     * Records that an engine rejected a request.
     *
     * @param prefixHash a hash of the shared prefix with its salt
     * @param engine the engine
     */
    public void recordRejected(long prefixHash, String engine) {
        tracker.recordRejected(prefixHash, engine);
    }

    private static long rank(String key, String id) {
        return hash(key + '\0' + id) >>> 1;
    }

    private static long hash(String text) {
        return LongHashFunction.xx3().hashBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    private EngineChoice evaluate(Placement placement, long prefixHash, EngineCandidate candidate) {
        Prompt prompt = placement.prompt();
        long nowMillis = placement.nowMillis();
        PrefixSources sources = placement.sources();
        LongAnswerEngines longAnswerEngines = placement.longAnswerEngines();
        boolean isHome = candidate.id().equals(placement.home());
        PrefixSources.Source source = sources.cheapest(prompt, prefixHash, candidate, isHome);
        double prefill = PrefixSources.prefillMillis(source, prompt);
        double queueWait = candidate.load().waitMillis(nowMillis) * candidate.pace();
        double batch = candidate.load().runningRequests(nowMillis) * MILLIS_PER_REQUEST;
        double memory = candidate.load().memoryTokens(nowMillis) + prompt.memoryTokens();
        double memoryWait =
                Math.max(0, memory / (candidate.memoryTokens() * MAX_MEMORY_SHARE) - 1) * TYPICAL_REQUEST_MILLIS;
        double requestsOverSlots = Math.max(0, candidate.load().runningRequests(nowMillis) + 1 - candidate.slots());
        double slotWait = requestsOverSlots / candidate.slots() * TYPICAL_REQUEST_MILLIS;
        double predicted =
                queueWait + slotWait + source.fetchMillis() + prefill * candidate.pace() + batch + memoryWait;
        double interference = candidate.load().runningRequests(nowMillis) * prefill * INTERFERENCE_FACTOR
                + (placement.prevails() ? 0 : longAnswerEngines.interferenceMillis(candidate, prefill, nowMillis));
        double pauses = placement.longAnswer()
                ? queueWait * PAUSE_FACTOR + longAnswerEngines.placementMillis(candidate, nowMillis)
                : 0;
        double cost = predicted
                + interference
                + pauses
                + (isHome ? 0 : NOT_HOME_MILLIS)
                + source.recomputeMillis()
                + (requestsOverSlots > 0 ? NO_SLOT_MILLIS : 0)
                + (candidate.weightChangePending() ? WEIGHT_CHANGE_MILLIS : 0)
                + (candidate.superseded() ? SUPERSEDED_MILLIS : 0);
        boolean saveToStore = prompt.sharedTokens() > 0 && tracker.shouldSave(prefixHash, nowMillis);
        String reason = (isHome ? "home " : "away ") + source.label();
        boolean queryStore = source.storeMillis() > 0 || sources.shouldQueryStore(prompt, prefixHash);
        return new EngineChoice(
                candidate,
                prefixHash,
                queueWait + slotWait,
                predicted,
                prefill,
                cost,
                source.engine(),
                source.storeMillis(),
                queryStore,
                saveToStore,
                placement.longAnswer(),
                reason);
    }
}
