package org.hornbeamhead.core.engine;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses the engine of a request: the one with the shortest predicted time to the first event, where reading what
 * another engine has read before counts extra.
 *
 * <p>Answers the load of long shared prompts. Every router computes the same order of engines from a prompt's shared
 * beginning, so that one beginning is kept by few engines even before hints between routers have come. Owned by one
 * thread.
 */
public final class EngineChooser {
    /** A batch's step grows with its requests: 0.017 ms a request on the sheets, over about 35 steps of a stream. */
    private static final double MILLIS_PER_REQUEST = 0.6;
    /** The part of an engine's memory that running requests may take before new ones wait for one of them to end. */
    private static final double MEMORY_PART = 0.9;
    /** How long a request usually takes from its start to its end; sets how fast memory comes free. */
    private static final double USUAL_MILLIS = 500;
    /**
     * What a try at an engine without a free slot costs besides its wait. Failure: an engine is chosen by its reading
     * and its memory alone, and it has no slot left. Symptom: it turns the request away, which is begun again
     * elsewhere, late and at the expense of the repeats that all share. A round trip and a repeat weigh about this.
     */
    private static final double FULL_MILLIS = 200;
    /** Work at another engine counts this much more than the home's, so that small differences move nothing. */
    private static final double AWAY_MILLIS = 10;
    /** An engine about to change its weights refuses, or delays its change. */
    private static final double STEERED_MILLIS = 5_000;
    /** Answers on replaced weights are worth a fifth less, as if a fifth of them came late. */
    private static final double REPLACED_MILLIS = 400;

    /** What reading costs a stream that runs at the engine, by the steps that it makes longer. */
    private static final double HARM_PART = 0.02;
    /** What the reading that waits at an engine costs a long answer besides its wait. */
    private static final double PAUSE_PART = 1.0;

    private static final double BEGIN_FACTOR = 1.5;

    /** Engines that are weighed for a request; the small deployments of the sheets have no more. */
    private static final int MAX_CONSIDERED = 8;
    /** Of very large services one in so many engines is weighed. */
    private static final int CONSIDERED_PART = 100;

    /** Orders the engines for long answers. */
    private static final String LANES = "long answers";

    private final CachedParts cached;

    /**
     * Makes a chooser that knows no beginnings.
     *
     * @param inherits whether the store beside the engines may have been filled before
     */
    public EngineChooser(boolean inherits) {
        this.cached = new CachedParts(inherits);
    }

    /**
     * Chooses.
     *
     * @param prompt the prompt
     * @param salt gives what separates an engine's cached parts from those of other customers and weights, by version
     * @param candidates the usable engines
     * @param links how cached parts come to an engine
     * @param nowMillis the monotonic time
     * @return the choice, empty without candidates
     */
    public Optional<EngineChoice> choose(
            Prompt prompt,
            ToLongFunction<EngineCandidate> salt,
            List<EngineCandidate> candidates,
            CacheLinks links,
            long nowMillis) {
        String shared = prompt.sharedKey();
        long beginning = hash(shared);
        Map<String, EngineCandidate> byId =
                candidates.stream().collect(Collectors.toMap(EngineCandidate::id, Function.identity()));
        BeginningSources sources =
                new BeginningSources(cached, links, id -> Optional.ofNullable(byId.get(id)), nowMillis);
        AnswerLanes lanes = AnswerLanes.of(candidates, id -> rank(LANES, id), nowMillis);
        Stream<String> homes = prompt.hasLongAnswer() ? lanes.lanes().stream() : byId.keySet().stream();
        Optional<String> home = homes.max(Comparator.comparingLong(id -> rank(shared, id)));
        Function<EngineCandidate, EngineChoice> weigh =
                c -> weigh(prompt, beginning ^ salt.applyAsLong(c), c, home.orElseThrow(), lanes, sources, nowMillis);
        return best(considered(prompt, shared, candidates, lanes), weigh)
                .or(() -> best(staying(candidates).stream(), weigh));
    }

    private static Optional<EngineChoice> best(
            Stream<EngineCandidate> engines, Function<EngineCandidate, EngineChoice> weigh) {
        return engines.map(weigh)
                .filter(EngineChooser::beginsInTime)
                .min(Comparator.comparingDouble(EngineChoice::cost));
    }

    /** Those that are not about to change their weights, as long as there are any. */
    private static List<EngineCandidate> staying(List<EngineCandidate> candidates) {
        List<EngineCandidate> staying =
                candidates.stream().filter(c -> !c.steeredAway()).toList();
        return staying.isEmpty() ? candidates : staying;
    }

    /**
     * Leaves out most engines of a large service.
     *
     * <p>Failure: hints are a tenth of a second old with many routers, and all of them see the same engine idle.
     * Symptom: twenty requests go there at once and wait for a second. Each beginning has a few engines of its own, so
     * that two requests rarely look at the same; its copies stay on these, too. When none of these can begin in time,
     * all are looked at: near the bound of replaced weights only a few engines may have the new ones.
     */
    private static Stream<EngineCandidate> considered(
            Prompt prompt, String shared, List<EngineCandidate> candidates, AnswerLanes lanes) {
        if (prompt.hasLongAnswer()) {
            return candidates.stream().filter(lanes::open);
        }
        List<EngineCandidate> usable = candidates.size() <= MAX_CONSIDERED ? candidates : staying(candidates);
        return usable.stream()
                .sorted(Comparator.comparingLong((EngineCandidate c) -> -rank(shared, c.id())))
                .limit(Math.max(MAX_CONSIDERED, candidates.size() / CONSIDERED_PART));
    }

    /**
     * Notes that a request went to an engine, of this router or another.
     *
     * @param beginning a hash of the shared beginning with its salt
     * @param engine the engine
     * @param readyAfterMillis when the engine will have read it, as predicted, in milliseconds from now
     * @param links how cached parts come to an engine
     * @param storeMillis how long the store's link is busy with it, in milliseconds
     * @param nowMillis the monotonic time
     */
    public void sent(
            long beginning,
            String engine,
            double readyAfterMillis,
            CacheLinks links,
            double storeMillis,
            long nowMillis) {
        cached.sent(beginning, engine, nowMillis + Math.round(readyAfterMillis));
        links.store(beginning).ifPresent(s -> cached.fetching(s.address(), storeMillis, nowMillis));
        cached.saved(beginning, nowMillis);
    }

    /**
     * Failure: a request waits at an engine with replaced weights, and begins after the time until which that is
     * allowed. Symptom: an answer on weights that should be out of use. Half as much again as predicted must fit.
     */
    private static boolean beginsInTime(EngineChoice choice) {
        return choice.predictedMillis() * BEGIN_FACTOR < choice.engine().usableMillis();
    }

    /**
     * Notes that an engine did not take a request.
     *
     * @param beginning a hash of the shared beginning with its salt
     * @param engine the engine
     */
    public void refused(long beginning, String engine) {
        cached.refused(beginning, engine);
    }

    private static long rank(String key, String id) {
        return hash(key + '\0' + id) >>> 1;
    }

    private static long hash(String text) {
        return LongHashFunction.xx3().hashBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    private EngineChoice weigh(
            Prompt prompt,
            long beginning,
            EngineCandidate c,
            String homeId,
            AnswerLanes lanes,
            BeginningSources sources,
            long nowMillis) {
        boolean home = homeId.equals(c.id());
        BeginningSources.Source source = sources.best(prompt, beginning, c, home);
        double read = BeginningSources.readMillis(source, prompt);
        double wait = c.load().waitMillis(nowMillis);
        double batch = c.load().total(nowMillis) * MILLIS_PER_REQUEST;
        double memory = c.load().memoryTokens(nowMillis) + prompt.memoryTokens();
        double over = Math.max(0, memory / (c.memoryTokens() * MEMORY_PART) - 1) * USUAL_MILLIS;
        double unslotted = Math.max(0, c.load().total(nowMillis) + 1 - c.slots());
        double slotWait = unslotted / c.slots() * USUAL_MILLIS;
        double predicted = wait + slotWait + source.fetchMillis() + read + batch + over;
        double harm = c.load().total(nowMillis) * read * HARM_PART + lanes.harmMillis(c, read, nowMillis);
        double pauses = prompt.hasLongAnswer() ? wait * PAUSE_PART + lanes.placeMillis(c, nowMillis) : 0;
        double cost = predicted
                + harm
                + pauses
                + (home ? 0 : AWAY_MILLIS)
                + source.againMillis()
                + (unslotted > 0 ? FULL_MILLIS : 0)
                + (c.steeredAway() ? STEERED_MILLIS : 0)
                + (c.replaced() ? REPLACED_MILLIS : 0);
        boolean save = prompt.sharedTokens() > 0 && cached.saveNow(beginning, nowMillis);
        String why = (home ? "home " : "away ") + source.name();
        boolean ask = source.storeMillis() > 0 || BeginningSources.worthAsking(prompt);
        return new EngineChoice(
                c,
                beginning,
                wait + slotWait,
                predicted,
                read,
                cost,
                source.engine(),
                source.storeMillis(),
                ask,
                save,
                why);
    }
}
