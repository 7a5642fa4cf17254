package org.hornbeamhead.core.engine;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Keeps long answers and long prompts apart, as far as the load asks for it.
 *
 * <p>Answers the load of long prompts beside long answers when engines are short, as after a change of weights or a
 * crash. Failure: an engine that reads without a break makes one token in each step of 95 ms or more, so that an event
 * of six tokens takes 570 ms. Symptom: first events are on time, and yet most long answers are late, on all engines.
 * Long answers fill one engine after the other in an order that every router computes alike, and long prompts leave
 * those engines time between their readings. No engine is set aside: when either kind needs more, its costs lead it to
 * the others' engines.
 *
 * <p>Played on six engines with nothing cached, long answers on time: 55% without it, 92% with it; long prompts 81% and
 * 81%. On four engines 8% and 82%, and 57% and 58%.
 */
final class AnswerLanes {
    /** An event of six tokens may take 500 ms on the sheets; what is read in that time holds it up. */
    private static final long EVENT_MILLIS = 500;
    /** Reading in an event's time that no answer notices: four steps of about 95 ms leave two short ones. */
    private static final double HARMLESS_READING_MILLIS = 300;
    /** With this much more reading every event is late. */
    private static final double HARM_RANGE_MILLIS = 250;
    /**
     * What one late answer weighs, in milliseconds of the prompt's own wait. From 100 to 1,000 the plays' worth differs
     * by less than 0.03; less lets prompts in among the answers, more refuses prompts that would have done no harm.
     */
    private static final double HARMED_ANSWER_MILLIS = 300;
    /** Long answers go one place further when the wait before is longer by this; at 10 or 40 plays are the same. */
    private static final double PLACE_MILLIS = 20;
    /** Answers that one engine takes before the next is filled; a step with as many takes a tenth longer than alone. */
    private static final int FULL_LANE = 24;
    /** What each answer beyond that weighs, so that a burst spreads. */
    private static final double CROWDED_MILLIS = 10;

    private final List<String> order;
    private final int allAnswers;

    private AnswerLanes(List<String> order, int allAnswers) {
        this.order = order;
        this.allAnswers = allAnswers;
    }

    /**
     * Orders engines for long answers.
     *
     * @param engines the usable engines
     * @param rank places an engine, the same for every router
     * @param nowMillis the monotonic time
     * @return the lanes of this moment
     */
    static AnswerLanes of(List<EngineCandidate> engines, ToLongFunction<String> rank, long nowMillis) {
        List<String> order = engines.stream()
                .map(EngineCandidate::id)
                .sorted(Comparator.comparingLong(rank))
                .toList();
        int all =
                engines.stream().mapToInt(e -> e.load().longAnswers(nowMillis)).sum();
        return new AnswerLanes(order, all);
    }

    /**
     * Returns the engine that long answers fill first.
     *
     * @return its id, empty without engines
     */
    Optional<String> first() {
        return order.stream().findFirst();
    }

    /**
     * Weighs what reading costs the long answers that run at an engine, or that the order leads there.
     *
     * @param engine the engine
     * @param readMillis how long it reads for the request, in milliseconds
     * @param nowMillis the monotonic time
     * @return the cost, in milliseconds of the request's own wait
     */
    double harmMillis(EngineCandidate engine, double readMillis, long nowMillis) {
        EngineLoad load = engine.load();
        double reading = Math.max(load.waitMillis(nowMillis), load.recentReadMillis(EVENT_MILLIS, nowMillis));
        double part = (reading + readMillis - HARMLESS_READING_MILLIS) / HARM_RANGE_MILLIS;
        double share = Math.min(1, readMillis / HARMLESS_READING_MILLIS);
        int answers = Math.max(load.longAnswers(nowMillis), allotted(engine));
        return answers * HARMED_ANSWER_MILLIS * Math.max(0, Math.min(1, part)) * share;
    }

    /** The long answers that an engine has when all of them fill the engines in order. */
    private int allotted(EngineCandidate engine) {
        int before = order.indexOf(engine.id()) * FULL_LANE;
        return Math.max(0, Math.min(FULL_LANE, allAnswers - before));
    }

    /**
     * Weighs an engine's place for a long answer.
     *
     * @param engine the engine
     * @param nowMillis the monotonic time
     * @return the cost, in milliseconds of the request's own wait
     */
    double placeMillis(EngineCandidate engine, long nowMillis) {
        int crowd = Math.max(0, engine.load().longAnswers(nowMillis) - FULL_LANE);
        return order.indexOf(engine.id()) * PLACE_MILLIS + crowd * CROWDED_MILLIS;
    }
}
