package org.hornbeamhead.core.engine;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Keeps long answers and long prompts apart, as far as the load asks for it.
 *
 * <p>Answers the load of long prompts beside long answers when engines are short, as after a change of weights or a
 * crash. Failure: an engine that reads without a break makes one token in each step of 95 ms or more, so that an event
 * of six tokens takes 570 ms. Symptom: first events are on time, and yet most long answers are late, on all engines.
 * Long answers share the first few engines of an order that every router computes alike, as many as their number needs,
 * and long prompts leave those engines time between their readings. No engine is set aside: when either kind needs
 * more, its costs lead it to the others' engines.
 */
final class AnswerLanes {
    /** An event of six tokens may take 500 ms on the sheets; what is read in that time holds it up. */
    private static final long EVENT_MILLIS = 500;
    /** Reading in an event's time that no answer notices: four steps of about 95 ms leave two short ones. */
    private static final double HARMLESS_READING_MILLIS = 300;
    /** With this much more reading every event is late. */
    private static final double HARM_RANGE_MILLIS = 250;
    /**
     * What one late answer weighs, in milliseconds of the prompt's own wait. Less lets prompts in among the answers,
     * more refuses prompts that would have done no harm.
     */
    private static final double HARMED_ANSWER_MILLIS = 300;
    /** What an engine beyond the lanes weighs for a long answer, for each place. */
    private static final double PLACE_MILLIS = 20;
    /** Long answers for each lane; a step with as many takes a twentieth longer than alone. */
    private static final int LANE_ANSWERS = 12;
    /**
     * Lanes are at most this part of the engines, or those that reading leaves free if these are more. Failure: engines
     * are short, long answers take three times as long, so that three times as many run and share all engines; all
     * engines read long prompts too, and no answer gets on. Symptom: for ten seconds after a change of weights half of
     * the long answers are late.
     */
    private static final double MOST_LANES_PART = 0.34;
    /**
     * Engines that a long answer may go to at least, so that a burst spreads and lanes that just changed their weights
     * are not flooded.
     */
    private static final int MIN_OPEN = 8;
    /** With more engines, long answers may go to this many times the lanes. */
    private static final int OPEN_FACTOR = 2;
    /** Long answers at one engine from which each more weighs something. */
    private static final int CROWD = 24;

    private static final double CROWDED_MILLIS = 10;

    private final List<String> order;
    private final int lanes;
    private final int answersPerLane;

    private AnswerLanes(List<String> order, int allAnswers, double readingEngines) {
        this.order = order;
        double most = Math.max(order.size() * MOST_LANES_PART, order.size() - readingEngines);
        this.lanes = Math.min((int) Math.ceil(most), 1 + allAnswers / LANE_ANSWERS);
        this.answersPerLane = lanes == 0 ? 0 : allAnswers / lanes;
    }

    /**
     * Orders engines for long answers.
     *
     * <p>Failure: the lanes are about to change their weights. Symptom: long answers wait for them or are given back
     * while other engines are idle. Only engines that stay take part, as long as there are any.
     *
     * @param engines the usable engines
     * @param rank places an engine, the same for every router
     * @param nowMillis the monotonic time
     * @return the lanes of this moment
     */
    static AnswerLanes of(List<EngineCandidate> engines, ToLongFunction<String> rank, long nowMillis) {
        List<EngineCandidate> staying =
                engines.stream().filter(e -> !e.steeredAway()).toList();
        List<String> order = (staying.isEmpty() ? engines : staying)
                .stream()
                        .map(EngineCandidate::id)
                        .sorted(Comparator.comparingLong(rank))
                        .toList();
        int all =
                engines.stream().mapToInt(e -> e.load().longAnswers(nowMillis)).sum();
        double reading = engines.stream()
                .mapToDouble(e -> e.load().recentReadMillis(EVENT_MILLIS, nowMillis))
                .sum();
        return new AnswerLanes(order, all, reading / EVENT_MILLIS);
    }

    /**
     * Lists the engines that long answers share now.
     *
     * @return their ids
     */
    List<String> lanes() {
        return order.subList(0, lanes);
    }

    /**
     * Tells whether a long answer may go to an engine.
     *
     * @param engine the engine
     * @return whether it is a lane, or one of the next
     */
    boolean open(EngineCandidate engine) {
        return place(engine) < Math.max(MIN_OPEN, lanes * OPEN_FACTOR);
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

    private int place(EngineCandidate engine) {
        int place = order.indexOf(engine.id());
        return place < 0 ? Integer.MAX_VALUE : place;
    }

    /** The long answers that an engine has when all of them share the lanes alike. */
    private int allotted(EngineCandidate engine) {
        return place(engine) < lanes ? answersPerLane : 0;
    }

    /**
     * Weighs an engine's place for a long answer.
     *
     * @param engine the engine
     * @param nowMillis the monotonic time
     * @return the cost, in milliseconds of the request's own wait
     */
    double placeMillis(EngineCandidate engine, long nowMillis) {
        int crowd = Math.max(0, engine.load().longAnswers(nowMillis) - CROWD);
        int beyond = Math.max(0, Math.min(place(engine), order.size()) + 1 - lanes);
        return beyond * PLACE_MILLIS + crowd * CROWDED_MILLIS;
    }
}
