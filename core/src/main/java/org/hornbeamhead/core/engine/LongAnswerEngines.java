package org.hornbeamhead.core.engine;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Selects the engines that long answers share, so that long prompts and long answers interfere as little as the load
 * allows.
 *
 * <p>When engines are short, as after a change of weights or a crash, long prompts run beside long answers. An engine
 * that prefills without a break makes one token in each step of 95 ms or more, so an event of six tokens takes 570 ms.
 * First events are then on time while most long answers are late, on all engines. Long answers therefore share the
 * first few engines of an order that every router computes alike, as many as their number needs, and long prompts leave
 * those engines time between prefills. No engine is reserved: when either kind needs more capacity, the costs spread it
 * to the other engines.
 */
final class LongAnswerEngines {
    /**
     * Cost of one late answer, in milliseconds of the prompt's own wait. A lower value places prompts among the
     * answers; a higher one rejects prompts that would have delayed nothing.
     */
    private static final double LATE_ANSWER_MILLIS = 300;
    /** Cost for a long answer of each position after the preferred engines. */
    private static final double POSITION_MILLIS = 20;
    /**
     * Largest share of the engines that is preferred, unless prefill leaves more of them free. When engines are short,
     * long answers take three times as long, so three times as many run. Without this limit they share all engines,
     * which all prefill long prompts too, and for ten seconds after a change of weights half of the long answers are
     * late.
     */
    private static final double MAX_PREFERRED_SHARE = 0.34;
    /**
     * Minimum number of engines that a long answer may go to, so that a burst spreads and engines that have just
     * changed their weights are not overloaded.
     */
    private static final int MIN_ELIGIBLE = 8;
    /** With more engines, long answers may go to this many times the preferred ones. */
    private static final int ELIGIBLE_FACTOR = 2;
    /** Number of long answers at one engine above which each further one adds a cost. */
    private static final int CROWDED_ANSWERS = 24;

    private static final double CROWDED_MILLIS = 10;

    private final AnswerPacking packing;
    private final List<String> ranked;
    private final int preferredCount;
    private final int answersPerPreferred;

    private LongAnswerEngines(AnswerPacking packing, List<String> ranked, int totalAnswers, double prefillingEngines) {
        this.packing = packing;
        this.ranked = ranked;
        double maxPreferred = Math.max(ranked.size() * MAX_PREFERRED_SHARE, ranked.size() - prefillingEngines);
        this.preferredCount = Math.min((int) Math.ceil(maxPreferred), 1 + totalAnswers / packing.answersPerEngine());
        this.answersPerPreferred = preferredCount == 0 ? 0 : totalAnswers / preferredCount;
    }

    /**
     * Ranks the engines for long answers.
     *
     * <p>Engines that are about to change their weights are left out as long as there are others. Otherwise long
     * answers would wait for them or be rejected while other engines are idle.
     *
     * @param engines the usable engines
     * @param rank returns an engine's rank by its id, the same on every router
     * @param packing how densely long answers share engines
     * @param nowMillis the monotonic time
     * @return the engines for long answers at this time
     */
    static LongAnswerEngines of(
            List<EngineCandidate> engines, ToLongFunction<String> rank, AnswerPacking packing, long nowMillis) {
        List<EngineCandidate> remaining =
                engines.stream().filter(e -> !e.weightChangePending()).toList();
        List<String> ranked = (remaining.isEmpty() ? engines : remaining)
                .stream()
                        .map(EngineCandidate::id)
                        .sorted(Comparator.comparingLong(rank))
                        .toList();
        int totalAnswers =
                engines.stream().mapToInt(e -> e.load().longAnswers(nowMillis)).sum();
        double pendingMillis = engines.stream()
                .mapToDouble(e -> e.load().recentPrefillMillis(packing.windowMillis(), nowMillis))
                .sum();
        return new LongAnswerEngines(packing, ranked, totalAnswers, pendingMillis / packing.windowMillis());
    }

    /**
     * Returns the engines that long answers share now.
     *
     * @return their ids
     */
    List<String> preferred() {
        return ranked.subList(0, preferredCount);
    }

    /**
     * Returns whether a long answer may go to an engine.
     *
     * @param engine the engine
     * @return whether it is preferred or one of the next in rank
     */
    boolean isEligible(EngineCandidate engine) {
        return position(engine) < Math.max(MIN_ELIGIBLE, preferredCount * ELIGIBLE_FACTOR);
    }

    /**
     * Returns the cost of a prefill to the long answers that run at an engine, or that are expected there.
     *
     * @param engine the engine
     * @param requestMillis the prefill time of the request, in milliseconds
     * @param nowMillis the monotonic time
     * @return the cost, in milliseconds of the request's own wait
     */
    double interferenceMillis(EngineCandidate engine, double requestMillis, long nowMillis) {
        EngineLoad load = engine.load();
        double pendingMillis =
                Math.max(load.waitMillis(nowMillis), load.recentPrefillMillis(packing.windowMillis(), nowMillis));
        double lateShare = (pendingMillis + requestMillis - packing.harmlessMillis()) / packing.rangeMillis();
        double requestWeight = Math.min(1, requestMillis / packing.harmlessMillis());
        int affected = Math.max(load.longAnswers(nowMillis), fairShare(engine));
        return affected * LATE_ANSWER_MILLIS * Math.max(0, Math.min(1, lateShare)) * requestWeight;
    }

    private int position(EngineCandidate engine) {
        int position = ranked.indexOf(engine.id());
        return position < 0 ? Integer.MAX_VALUE : position;
    }

    /** Returns the number of long answers at an engine when the preferred engines share them equally. */
    private int fairShare(EngineCandidate engine) {
        return position(engine) < preferredCount ? answersPerPreferred : 0;
    }

    /**
     * Returns the cost for a long answer of an engine's rank and of the long answers that run there.
     *
     * @param engine the engine
     * @param nowMillis the monotonic time
     * @return the cost, in milliseconds of the request's own wait
     */
    double placementMillis(EngineCandidate engine, long nowMillis) {
        int excess = Math.max(0, engine.load().longAnswers(nowMillis) - CROWDED_ANSWERS);
        int outside = Math.max(0, Math.min(position(engine), ranked.size()) + 1 - preferredCount);
        return outside * POSITION_MILLIS + excess * CROWDED_MILLIS;
    }
}
