package org.hornbeamhead.core.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * One router's view of the work at one engine: its own requests exactly, those of other routers from their hints.
 *
 * <p>Answers the load of many routers that choose between the same engines. Failure: each router sees only what it sent
 * itself, so all of them find the same engine idle. Symptom: after a change of weights every request goes to the first
 * engine that is done, and streams there stand still for seconds. Reading is kept as the time at which the engine will
 * have read all that was sent to it, which needs no report of the engine and corrects itself with each first event.
 *
 * <p>Owned by one thread.
 */
public final class EngineLoad {
    /** What another router said last says nothing after this time: routers repeat their hints every half a second. */
    private static final long HINT_LIFE_MILLIS = 1_500;
    /** Work sent longer ago than this has been read, or the engine is stuck and its overdue requests tell so. */
    private static final long SENT_LIFE_MILLIS = 5_000;

    /**
     * Reading is counted this much longer than it takes. An engine that reads without a break makes one token in each
     * step of 95 ms, so that streams pause for half a second; in the time that is left over here they catch up at 4 ms
     * a step.
     */
    private static final double SPACING = 1.3;

    private final Map<String, Work> own = new HashMap<>();
    private final Map<String, Hint> hints = new HashMap<>();
    private final Deque<Sent> sent = new ArrayDeque<>();
    private double readUntil;

    private record Work(long sentAt, double expectedAt, int memoryTokens, boolean longAnswer, boolean reading) {}

    private record Hint(int running, int longAnswers, int memoryTokens, long at) {}

    private record Sent(long at, double millis) {}

    /**
     * Notes that this router sent a request.
     *
     * @param id the request
     * @param readMillis the predicted time that the engine reads for it, in milliseconds
     * @param memoryTokens the tokens that the request takes in the engine's memory
     * @param longAnswer whether the answer is long enough for its pauses to matter
     * @param nowMillis the monotonic time
     */
    public void sent(String id, double readMillis, int memoryTokens, boolean longAnswer, long nowMillis) {
        queue(readMillis, nowMillis);
        own.put(id, new Work(nowMillis, readUntil, memoryTokens, longAnswer, true));
    }

    /**
     * Notes that another router sent a request.
     *
     * @param readMillis the predicted time that the engine reads for it, in milliseconds
     * @param nowMillis the monotonic time
     */
    public void hinted(double readMillis, long nowMillis) {
        queue(readMillis, nowMillis);
    }

    private void queue(double readMillis, long nowMillis) {
        double spaced = readMillis * SPACING;
        readUntil = Math.max(readUntil, (double) nowMillis) + spaced;
        sent.addLast(new Sent(nowMillis, spaced));
        while (sent.peekFirst().at() < nowMillis - SENT_LIFE_MILLIS) {
            sent.removeFirst();
        }
    }

    /**
     * Notes what another router has at the engine.
     *
     * @param router the other router
     * @param running its requests that have not ended
     * @param longAnswers those of them with long answers
     * @param memoryTokens the tokens that they take
     * @param nowMillis the monotonic time
     */
    public void hinted(String router, int running, int longAnswers, int memoryTokens, long nowMillis) {
        if (running == 0) {
            hints.remove(router);
        } else {
            hints.put(router, new Hint(running, longAnswers, memoryTokens, nowMillis));
        }
    }

    /**
     * Notes a request's first event: all that was sent before it is read, since engines read in the order of arrival.
     *
     * @param id the request
     * @param nowMillis the monotonic time
     */
    public void firstEvent(String id, long nowMillis) {
        Work w = own.get(id);
        if (w == null || !w.reading()) {
            return;
        }
        own.put(id, new Work(w.sentAt(), w.expectedAt(), w.memoryTokens(), w.longAnswer(), false));
        double after = sent.stream()
                .filter(s -> s.at() > w.sentAt())
                .mapToDouble(Sent::millis)
                .sum();
        readUntil = Math.min(readUntil, (double) nowMillis + after);
    }

    /**
     * Notes that a request ended, whole or not.
     *
     * @param id the request
     */
    public void ended(String id) {
        own.remove(id);
    }

    /**
     * Counts this router's requests.
     *
     * @return the requests that have not ended
     */
    public int own() {
        return own.size();
    }

    /**
     * Counts the tokens that this router's requests take.
     *
     * @return the tokens
     */
    public int ownMemoryTokens() {
        return own.values().stream().mapToInt(Work::memoryTokens).sum();
    }

    /**
     * Counts this router's requests with long answers.
     *
     * @return those that have not ended
     */
    public int ownLongAnswers() {
        return (int) own.values().stream().filter(Work::longAnswer).count();
    }

    /**
     * Counts the requests with long answers of all routers.
     *
     * @param nowMillis the monotonic time
     * @return the number as far as known
     */
    public int longAnswers(long nowMillis) {
        return ownLongAnswers()
                + hints.values().stream()
                        .filter(h -> fresh(h, nowMillis))
                        .mapToInt(Hint::longAnswers)
                        .sum();
    }

    /**
     * Counts the requests of all routers.
     *
     * @param nowMillis the monotonic time
     * @return the number as far as known
     */
    public int total(long nowMillis) {
        return own.size()
                + hints.values().stream()
                        .filter(h -> fresh(h, nowMillis))
                        .mapToInt(Hint::running)
                        .sum();
    }

    /**
     * Predicts how long a request that is sent now waits until it is read.
     *
     * @param nowMillis the monotonic time
     * @return milliseconds; grows while a request's first event is overdue
     */
    public double waitMillis(long nowMillis) {
        double overdue = own.values().stream()
                .filter(Work::reading)
                .mapToDouble(w -> nowMillis - w.expectedAt())
                .max()
                .orElse(0);
        return Math.max(0, readUntil - nowMillis) + Math.max(0, overdue);
    }

    /**
     * Tells how much the engine was given to read lately, whether it has read it or not.
     *
     * @param windowMillis how far back, in milliseconds
     * @param nowMillis the monotonic time
     * @return the reading that was sent, in milliseconds of the engine's work
     */
    public double recentReadMillis(long windowMillis, long nowMillis) {
        return sent.stream()
                        .filter(s -> s.at() > nowMillis - windowMillis)
                        .mapToDouble(Sent::millis)
                        .sum()
                / SPACING;
    }

    /**
     * Counts the tokens that requests take.
     *
     * @param nowMillis the monotonic time
     * @return the tokens as far as known
     */
    public int memoryTokens(long nowMillis) {
        return ownMemoryTokens()
                + hints.values().stream()
                        .filter(h -> fresh(h, nowMillis))
                        .mapToInt(Hint::memoryTokens)
                        .sum();
    }

    private static boolean fresh(Hint h, long nowMillis) {
        return nowMillis - h.at() < HINT_LIFE_MILLIS;
    }
}
