package org.hornbeamhead.core.engine;

import java.util.HashMap;
import java.util.Map;

/**
 * One router's view of the work at one engine: its own requests exactly, those of other routers from what the engine
 * said last. Owned by one thread.
 */
public final class EngineLoad {
    /** What an engine said of itself says little after this time; a request lasts about half as long. */
    private static final long REPORT_LIFE_MILLIS = 1_000;

    private final Map<String, Work> own = new HashMap<>();
    private int othersRunning;
    private int othersWaiting;
    private long reportedAt = Long.MIN_VALUE / 2;

    private record Work(int newTokens, int memoryTokens, boolean reading) {}

    /**
     * Notes that a request was sent.
     *
     * @param id the request
     * @param newTokens the prompt tokens that the engine must read
     * @param memoryTokens the tokens that the request takes in the engine's memory
     */
    public void sent(String id, int newTokens, int memoryTokens) {
        own.put(id, new Work(newTokens, memoryTokens, true));
    }

    /**
     * Notes a request's first event: its prompt is read.
     *
     * @param id the request
     */
    public void firstEvent(String id) {
        own.computeIfPresent(id, (k, w) -> new Work(0, w.memoryTokens(), false));
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
     * Takes over what the engine says of itself.
     *
     * @param running requests in its batch
     * @param waiting requests before it
     * @param nowMillis the monotonic time
     */
    public void reported(int running, int waiting, long nowMillis) {
        int ownReading = (int) own.values().stream().filter(Work::reading).count();
        int ownRunning = own.size() - ownReading;
        int others = Math.max(0, running + waiting - own.size());
        othersWaiting = Math.min(others, Math.max(0, waiting - ownReading));
        othersRunning = Math.min(others - othersWaiting, Math.max(0, running - ownRunning));
        reportedAt = nowMillis;
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
     * Counts the requests of all routers.
     *
     * @param nowMillis the monotonic time
     * @return the number as far as known
     */
    public double total(long nowMillis) {
        return own.size() + (othersRunning + othersWaiting) * freshness(nowMillis);
    }

    /**
     * Counts the tokens that wait to be read.
     *
     * @param nowMillis the monotonic time
     * @param usualNew the tokens that another router's waiting request usually brings
     * @return the tokens
     */
    public double waitingTokens(long nowMillis, double usualNew) {
        int mine = own.values().stream().mapToInt(Work::newTokens).sum();
        return mine + othersWaiting * usualNew * freshness(nowMillis);
    }

    /**
     * Counts the tokens that running and waiting requests take.
     *
     * @param nowMillis the monotonic time
     * @param usualMemory the tokens that another router's request usually takes
     * @return the tokens
     */
    public double memoryTokens(long nowMillis, double usualMemory) {
        int mine = own.values().stream().mapToInt(Work::memoryTokens).sum();
        return mine + (othersRunning + othersWaiting) * usualMemory * freshness(nowMillis);
    }

    private double freshness(long nowMillis) {
        return Math.max(0, 1 - (double) (nowMillis - reportedAt) / REPORT_LIFE_MILLIS);
    }
}
