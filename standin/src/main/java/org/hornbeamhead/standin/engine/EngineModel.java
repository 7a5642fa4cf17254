package org.hornbeamhead.standin.engine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;

/**
 * How a model engine behaves in time: prompts are computed one after another by priority, less what is cached; streams
 * are generated together, and slow one another down. Without input or output, so that measurements can run it in
 * virtual time.
 */
public final class EngineModel {
    private static final double MILLIS_PER_SECOND = 1000;

    private record Work(EngineRequest request, EngineSink sink, long order, int missedAtArrival) {}

    private final EngineSpeed speed;
    private final Clock clock;
    private final Timers timers;
    private final BlockCache cache;
    private final PriorityQueue<Work> waiting = new PriorityQueue<>(
            Comparator.<Work>comparingInt(w -> w.request().priority()).thenComparingLong(Work::order));
    private final Map<String, Work> live = new HashMap<>();
    private boolean computing;
    private int streams;
    private long waitingTokens;
    private long nextOrder;
    private long computedTokens;
    private double carryMillis;

    /**
     * Makes an idle engine with an empty cache.
     *
     * @param speed how fast it is
     * @param clock the clock
     * @param timers run its steps
     */
    public EngineModel(EngineSpeed speed, Clock clock, Timers timers) {
        this.speed = speed;
        this.clock = clock;
        this.timers = timers;
        this.cache = new BlockCache(speed);
    }

    /**
     * Accepts a request.
     *
     * @param request the request
     * @param sink receives what is generated
     */
    public void submit(EngineRequest request, EngineSink sink) {
        int missed = request.promptTokens() - cache.peek(request.blocks()) * BlockCache.BLOCK_TOKENS;
        Work work = new Work(request, sink, nextOrder++, missed);
        live.put(request.id(), work);
        waiting.add(work);
        waitingTokens += missed;
        computeNext();
    }

    /**
     * Gives a request up.
     *
     * @param id the request's id
     */
    public void cancel(String id) {
        Work work = live.remove(id);
        if (work != null && waiting.remove(work)) {
            waitingTokens -= work.missedAtArrival();
        }
    }

    private void computeNext() {
        if (computing || waiting.isEmpty() || streams >= speed.maxStreams()) {
            return;
        }
        computing = true;
        Work work = waiting.poll();
        int cached = cache.hits(work.request().blocks(), clock.monotonicMillis()) * BlockCache.BLOCK_TOKENS;
        int missed = work.request().promptTokens() - cached;
        computedTokens += missed;
        double exact = missed * MILLIS_PER_SECOND / speed.prefillTokensPerSecond() + carryMillis;
        long whole = (long) exact;
        carryMillis = exact - whole;
        timers.schedule(whole, () -> computed(work, cached));
    }

    private void computed(Work work, int cached) {
        computing = false;
        waitingTokens -= work.missedAtArrival();
        cache.store(work.request().blocks(), clock.monotonicMillis());
        if (live.containsKey(work.request().id())) {
            streams++;
            work.sink().prefilled(cached);
            generate(work, work.request().firstToken());
        }
        computeNext();
    }

    private void generate(Work work, int index) {
        if (!work.equals(live.get(work.request().id()))) {
            endStream();
            return;
        }
        if (index >= work.request().maxTokens()) {
            live.remove(work.request().id());
            endStream();
            work.sink().finished();
            return;
        }
        work.sink().token(index, work.request().tokenText(index));
        long pause = speed.decodeMillis() + (long) speed.decodeMillis() * streams / speed.streamsToDouble();
        timers.schedule(pause, () -> generate(work, index + 1));
    }

    private void endStream() {
        streams--;
        computeNext();
    }

    /** Empties the cache, as new weights do. */
    public void clearCache() {
        cache.clear();
    }

    /**
     * Counts prompt tokens accepted, not cached at their arrival and not yet computed.
     *
     * @return tokens
     */
    public long waitingTokens() {
        return waitingTokens;
    }

    /**
     * Counts streams being generated.
     *
     * @return streams
     */
    public int streams() {
        return streams;
    }

    /**
     * Counts requests not yet ended.
     *
     * @return requests
     */
    public int requests() {
        return live.size();
    }

    /**
     * Counts prompt tokens computed since the start.
     *
     * @return tokens
     */
    public long computedTokens() {
        return computedTokens;
    }

    /**
     * Counts cached blocks.
     *
     * @return blocks
     */
    public int cachedBlocks() {
        return cache.blocks();
    }

    /**
     * Counts blocks evicted since the start.
     *
     * @return blocks
     */
    public long evictedBlocks() {
        return cache.evicted();
    }
}
