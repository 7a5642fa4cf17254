package org.hornbeamhead.gateway.replica;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamhead.core.availability.NoticeState;
import org.hornbeamhead.core.limit.BrittleLimit;
import org.hornbeamhead.core.limit.RequestLimiter;

/**
 * What a run of a replica said of itself in its answers. It holds as long as the run, whatever becomes of its entry.
 *
 * @param notices whether it takes requests
 * @param limiter the limit of its requests
 * @param brittleLimit the limit of the requests in progress while it is brittle
 */
record RunStatements(NoticeState notices, RequestLimiter limiter, BrittleLimit brittleLimit) {
    static RunStatements none() {
        return new RunStatements(new NoticeState(), new RequestLimiter(), new BrittleLimit());
    }

    private boolean isRelevant(long nowMillis) {
        return notices.isRelevant(nowMillis) || limiter.isRelevant(nowMillis) || brittleLimit.isBrittle(nowMillis);
    }

    /** The statements of runs whose entries were removed, since an entry may lapse and come back. */
    static final class Archive {
        /** Bounds the memory of a router that has seen many replacements; the oldest removals are dropped first. */
        private static final int MAX_RUNS = 4_096;

        private final Map<String, RunStatements> byRun = new LinkedHashMap<>();

        /** Keeps the statements of a run that was removed, if there is anything to keep. */
        void add(String run, RunStatements statements, long nowMillis) {
            if (statements.isRelevant(nowMillis)) {
                byRun.put(run, statements);
                if (byRun.size() > MAX_RUNS) {
                    byRun.remove(byRun.keySet().iterator().next());
                }
            }
        }

        /** Removes and returns the statements of a run that is listed again. */
        RunStatements take(String run) {
            RunStatements kept = byRun.remove(run);
            return kept == null ? none() : kept;
        }
    }
}
