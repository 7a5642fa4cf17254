package org.hornbeamhead.core.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Decides where an engine gets a prompt's shared beginning from: its own memory, another engine, the store beside them,
 * or by reading it.
 *
 * <p>Answers the load after a restart of all routers. Failure: everything is fetched over the store's one link, also
 * the two hundred tokens that an engine reads in 5 ms, and the link was taken for twice as fast as it is between data
 * centres. Symptom: first events that were predicted after 30 ms come after 2 s.
 */
final class BeginningSources {
    /**
     * Reading a beginning again that another engine has read: a thousand tokens cost a fifth of a long request's worth,
     * which is what about 200 ms of lateness would.
     */
    private static final double MILLIS_PER_TOKEN_AGAIN = 0.05;
    /** Reading fewer tokens takes less than 25 ms, which a fetch that nobody has predicted may take as well. */
    private static final int WORTH_ASKING_TOKENS = 1_000;

    private final CachedParts cached;
    private final CacheLinks links;
    private final Function<String, Optional<EngineCandidate>> engines;
    private final long nowMillis;

    /**
     * A way to get a beginning.
     *
     * @param name in words, for the log
     * @param fetchMillis how long it takes until the engine has the beginning, in milliseconds
     * @param reads whether the engine reads it
     * @param againMillis what reading it again costs, in milliseconds of the request's own wait
     * @param engine the engine to fetch it from
     * @param storeMillis how long the store's link is busy with it, in milliseconds
     */
    record Source(
            String name,
            double fetchMillis,
            boolean reads,
            double againMillis,
            Optional<String> engine,
            double storeMillis) {}

    BeginningSources(
            CachedParts cached, CacheLinks links, Function<String, Optional<EngineCandidate>> engines, long nowMillis) {
        this.cached = cached;
        this.links = links;
        this.engines = engines;
        this.nowMillis = nowMillis;
    }

    /**
     * Decides.
     *
     * @param prompt the prompt
     * @param beginning a hash of its beginning with its salt
     * @param to the engine that needs it
     * @param home whether that is where every router would send it first
     * @return the cheapest way
     */
    Source best(Prompt prompt, long beginning, EngineCandidate to, boolean home) {
        boolean kept = cached.kept(beginning, to.settled(), nowMillis);
        boolean unknown = cached.unknown(beginning);
        if (prompt.sharedTokens() == 0 || cached.atEngine(beginning, to.id(), nowMillis) || (home && kept && unknown)) {
            return new Source("cached", 0, false, 0, Optional.empty(), 0);
        }
        List<Source> ways = new ArrayList<>();
        double again = kept || !unknown ? prompt.sharedTokens() * MILLIS_PER_TOKEN_AGAIN : 0;
        ways.add(new Source("read", 0, true, again, Optional.empty(), 0));
        // The first part is shared by so many prompts that every engine holds it.
        int tokens = prompt.sharedTokens() - prompt.parts().get(0).tokens();
        fromEngine(beginning, to, tokens).ifPresent(ways::add);
        if (kept) {
            fromStore(beginning, to, tokens).ifPresent(ways::add);
        }
        return ways.stream()
                .min(Comparator.comparingDouble(w -> millis(w, prompt)))
                .orElseThrow();
    }

    /**
     * Tells whether an engine should ask the store when it does not hold what it was believed to hold.
     *
     * @param prompt the prompt
     * @return whether reading its beginning again would be dearer than asking
     */
    static boolean worthAsking(Prompt prompt) {
        return prompt.sharedTokens() >= WORTH_ASKING_TOKENS;
    }

    /** What a way costs until the whole prompt is read. */
    private static double millis(Source way, Prompt prompt) {
        return way.fetchMillis() + way.againMillis() + readMillis(way, prompt);
    }

    /**
     * Predicts how long the engine reads.
     *
     * @param way where the beginning comes from
     * @param prompt the prompt
     * @return milliseconds of the engine's work
     */
    static double readMillis(Source way, Prompt prompt) {
        int shared = prompt.sharedTokens();
        return way.reads()
                ? ReadingCost.readMillis(0, prompt.tokens())
                : ReadingCost.readMillis(shared, prompt.tokens() - shared);
    }

    private Optional<Source> fromEngine(long beginning, EngineCandidate to, int tokens) {
        return cached.holder(
                        beginning,
                        id -> engines.apply(id).filter(h -> holds(h, to)).isPresent(),
                        nowMillis)
                .flatMap(engines)
                .map(h -> new Source(
                        "from engine",
                        links.engineMillis(tokens, h.dataCentre(), to.dataCentre()),
                        false,
                        0,
                        Optional.of(h.id()),
                        0));
    }

    /** An engine that has changed its weights, or is about to, has dropped what it held. */
    private static boolean holds(EngineCandidate holder, EngineCandidate wants) {
        return !holder.id().equals(wants.id()) && holder.weights() == wants.weights() && !holder.steeredAway();
    }

    private Optional<Source> fromStore(long beginning, EngineCandidate to, int tokens) {
        return links.store(beginning).map(store -> {
            double link = store.millis(tokens, to.dataCentre());
            double wait = cached.storeWaitMillis(store.address(), nowMillis);
            return new Source("from store", wait + link, false, 0, Optional.empty(), link);
        });
    }
}
