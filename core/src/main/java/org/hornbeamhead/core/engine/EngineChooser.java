package org.hornbeamhead.core.engine;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses the engine of a request: the one with the shortest predicted time to the first event, where reading a shared
 * beginning elsewhere than at its home counts as the time it takes to bring it there.
 *
 * <p>Answers the load of long shared prompts: every router computes the same order of engines from the prompt's shared
 * parts, so that one beginning is kept by few engines without any message between routers. Owned by one thread.
 */
public final class EngineChooser {
    /** Prompt tokens that an engine reads in a millisecond; from the deployments' sheets, for a 70 B model. */
    private static final double TOKENS_PER_MILLI = 44.2;
    /** Cached tokens that come over a link in a millisecond, at 164 KB a token and 230 Gbit/s, with setting up. */
    private static final double FETCHED_PER_MILLI = 150;
    /** A batch's step grows with its requests: 0.017 ms a request on the sheets, over about ten steps. */
    private static final double MILLIS_PER_REQUEST = 0.6;
    /** The part of an engine's memory that running requests may take before new ones wait for one of them to end. */
    private static final double MEMORY_PART = 0.9;
    /** How long a request usually takes from its start to its end; sets how fast memory comes free. */
    private static final double USUAL_MILLIS = 500;
    /** Work at another engine counts this much more than the home's, so that small differences move nothing. */
    private static final double AWAY_MILLIS = 15;
    /** Stands for the price of beginning on weights that are about to be replaced, or at a busy engine. */
    private static final double STEERED_MILLIS = 5_000;
    /** Old weights after the time at which answers on them begin to be worth less. */
    private static final double OLD_WEIGHTS_MILLIS = 400;
    /** Share of the newest request in the running means of what requests bring. */
    private static final double SMOOTHING = 0.05;

    private double usualNew = 1_000;
    private double usualMemory = 4_000;

    /**
     * What is asked.
     *
     * @param prompt the prompt
     * @param salt what separates its cached parts from those of other customers and weights
     * @param newestWeights the version that new requests should begin on
     * @param oldPenalized whether answers on older weights are worth less by now
     */
    public record Ask(Prompt prompt, String salt, long newestWeights, boolean oldPenalized) {}

    /**
     * Chooses.
     *
     * @param ask the request
     * @param candidates the usable engines
     * @param nowMillis the monotonic time
     * @return the choice, empty without candidates
     */
    public Optional<EngineChoice> choose(Ask ask, List<EngineCandidate> candidates, long nowMillis) {
        learn(ask.prompt());
        String key = ask.salt() + '/' + ask.prompt().sharedKey();
        boolean shared = ask.prompt().sharedTokens() > 0;
        String home = candidates.stream()
                .map(EngineCandidate::id)
                .max(Comparator.comparingLong(id -> rank(key, id)))
                .orElse("");
        return candidates.stream()
                .map(c -> predict(ask, c, !shared || c.id().equals(home), nowMillis))
                .min(Comparator.comparingDouble(EngineChoice::predictedMillis));
    }

    private static long rank(String key, String id) {
        return LongHashFunction.xx3().hashBytes((key + '\0' + id).getBytes(StandardCharsets.UTF_8)) >>> 1;
    }

    private EngineChoice predict(Ask ask, EngineCandidate c, boolean home, long nowMillis) {
        Prompt prompt = ask.prompt();
        int fresh = prompt.tokens() - prompt.sharedTokens();
        double reading = (fresh + c.load().waitingTokens(nowMillis, usualNew)) / TOKENS_PER_MILLI;
        double fetching = home ? 0 : AWAY_MILLIS + prompt.sharedTokens() / FETCHED_PER_MILLI;
        double batch = c.load().total(nowMillis) * MILLIS_PER_REQUEST;
        double memory = c.load().memoryTokens(nowMillis, usualMemory) + prompt.tokens() + prompt.outputTokens();
        double over = Math.max(0, memory / (c.memoryTokens() * MEMORY_PART) - 1) * USUAL_MILLIS;
        double steered = c.steeredAway() ? STEERED_MILLIS : 0;
        double old = ask.oldPenalized() && c.weights() < ask.newestWeights() ? OLD_WEIGHTS_MILLIS : 0;
        return new EngineChoice(c, home, reading + fetching + batch + over + steered + old);
    }

    private void learn(Prompt prompt) {
        int fresh = prompt.tokens() - prompt.sharedTokens();
        usualNew += SMOOTHING * (fresh - usualNew);
        usualMemory += SMOOTHING * (prompt.tokens() + prompt.outputTokens() - usualMemory);
    }
}
