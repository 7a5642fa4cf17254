package org.hornbeamhead.core.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Selects where an engine gets the shared prefix of a prompt from: its own cache, another engine, the KV store, or its
 * own prefill.
 *
 * <p>After a restart of all routers, fetching everything would put all transfers on the store's one link, including
 * prefixes of two hundred tokens that an engine prefills in 5 ms. If that link is also taken for twice as fast as it is
 * between data centres, first events predicted after 30 ms come after 2 s.
 */
final class PrefixSources {
    /**
     * Cost of prefilling a prefix that another engine has prefilled. At this value, a thousand tokens cost a fifth of
     * what a long request is worth, as about 200 ms of lateness would.
     */
    private static final double RECOMPUTE_MILLIS_PER_TOKEN = 0.05;
    /** Prefilling fewer tokens takes less than 25 ms, which a fetch that was not predicted may take as well. */
    private static final int MIN_STORE_QUERY_TOKENS = 1_000;
    /** Prefilling fewer tokens takes about as long as a query that finds nothing. */
    private static final int MIN_IDLE_STORE_QUERY_TOKENS = 100;

    private final PrefixCacheTracker tracker;
    private final KvTransferLinks links;
    private final Function<String, Optional<EngineCandidate>> engines;
    private final long nowMillis;

    /**
     * A source of a prefix.
     *
     * @param label a description for the log
     * @param fetchMillis the time until the engine has the prefix, in milliseconds
     * @param prefills whether the engine prefills it
     * @param recomputeMillis the cost of prefilling it again, in milliseconds of the request's own wait
     * @param engine the engine to fetch it from
     * @param storeMillis the time that the transfer occupies the store's link, in milliseconds
     */
    record Source(
            String label,
            double fetchMillis,
            boolean prefills,
            double recomputeMillis,
            Optional<String> engine,
            double storeMillis) {}

    PrefixSources(
            PrefixCacheTracker tracker,
            KvTransferLinks links,
            Function<String, Optional<EngineCandidate>> engines,
            long nowMillis) {
        this.tracker = tracker;
        this.links = links;
        this.engines = engines;
        this.nowMillis = nowMillis;
    }

    /**
     * Returns the cheapest source of a prompt's shared prefix.
     *
     * @param prompt the prompt
     * @param prefixHash a hash of the shared prefix with its salt
     * @param target the engine that needs it
     * @param isHome whether every router would send it to this engine first
     * @return the cheapest source
     */
    Source cheapest(Prompt prompt, long prefixHash, EngineCandidate target, boolean isHome) {
        boolean inStore = tracker.isInStore(prefixHash, target.storeWarm(), nowMillis);
        boolean unseen = tracker.neverSent(prefixHash);
        if (prompt.sharedTokens() == 0
                || tracker.isCachedAt(prefixHash, target.id(), nowMillis)
                || (isHome && inStore && unseen)) {
            return new Source("cached", 0, false, 0, Optional.empty(), 0);
        }
        List<Source> sources = new ArrayList<>();
        double recomputeMillis = inStore || !unseen ? prompt.sharedTokens() * RECOMPUTE_MILLIS_PER_TOKEN : 0;
        sources.add(new Source("read", 0, true, recomputeMillis, Optional.empty(), 0));
        // The first part is shared by so many prompts that every engine has it cached.
        int tokens = prompt.sharedTokens() - prompt.parts().get(0).tokens();
        fromEngine(prefixHash, target, tokens).ifPresent(sources::add);
        if (inStore) {
            fromStore(prefixHash, target, tokens).ifPresent(sources::add);
        }
        return sources.stream()
                .min(Comparator.comparingDouble(s -> totalMillis(s, prompt)))
                .orElseThrow();
    }

    /**
     * Returns whether an engine should query the store when its cache lacks a prefix that it was expected to hold. A
     * short prefix is worth the query only while the store's link is not busy.
     *
     * @param prompt the prompt
     * @param prefixHash a hash of the shared prefix with its salt
     * @return whether prefilling the prefix again would cost more than the query
     */
    boolean shouldQueryStore(Prompt prompt, long prefixHash) {
        int tokens = prompt.sharedTokens();
        return tokens >= MIN_STORE_QUERY_TOKENS
                || (tokens >= MIN_IDLE_STORE_QUERY_TOKENS
                        && storeWaitMillis(prefixHash) < PrefillCost.prefillMillis(0, tokens));
    }

    private double storeWaitMillis(long prefixHash) {
        return links.storeFor(prefixHash)
                .map(store -> tracker.storeWaitMillis(store.address(), nowMillis))
                .orElse(Double.MAX_VALUE);
    }

    /** Returns the cost of a source until the whole prompt is prefilled. */
    private static double totalMillis(Source source, Prompt prompt) {
        return source.fetchMillis() + source.recomputeMillis() + prefillMillis(source, prompt);
    }

    /**
     * Predicts the prefill time of a prompt.
     *
     * @param source the source of the shared prefix
     * @param prompt the prompt
     * @return milliseconds of the engine's work
     */
    static double prefillMillis(Source source, Prompt prompt) {
        int sharedTokens = prompt.sharedTokens();
        return source.prefills()
                ? PrefillCost.prefillMillis(0, prompt.tokens())
                : PrefillCost.prefillMillis(sharedTokens, prompt.tokens() - sharedTokens);
    }

    private Optional<Source> fromEngine(long prefixHash, EngineCandidate target, int tokens) {
        return tracker.findHolder(
                        prefixHash,
                        id -> engines.apply(id)
                                .filter(h -> stillHolds(h, target))
                                .isPresent(),
                        nowMillis)
                .flatMap(engines)
                .map(h -> new Source(
                        "from engine",
                        links.engineTransferMillis(tokens, h.dataCentre(), target.dataCentre()),
                        false,
                        0,
                        Optional.of(h.id()),
                        0));
    }

    /** An engine that has changed its weights, or is about to, no longer holds its cached prefixes. */
    private static boolean stillHolds(EngineCandidate candidate, EngineCandidate target) {
        return !candidate.id().equals(target.id())
                && candidate.weights() == target.weights()
                && !candidate.weightChangePending();
    }

    private Optional<Source> fromStore(long prefixHash, EngineCandidate target, int tokens) {
        return links.storeFor(prefixHash).map(store -> {
            double linkMillis = store.transferMillis(tokens, target.dataCentre());
            double queueMillis = tracker.storeWaitMillis(store.address(), nowMillis);
            return new Source("from store", queueMillis + linkMillis, false, 0, Optional.empty(), linkMillis);
        });
    }
}
