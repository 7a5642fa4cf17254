package org.hornbeamhead.standin.load;

import java.util.HashMap;
import java.util.Map;

/** The lower bound of recomputation: each distinct prefix once for as long as it is in use, and each question once. */
public final class LoadBound {
    private final Workload workload;
    private final long liveMillis;
    private final Map<String, Long> usedAtMillis = new HashMap<>();
    private long tokens;

    /**
     * Makes a bound over no requests.
     *
     * @param workload the workload
     * @param liveMillis how long an unused prefix could have been kept, in milliseconds
     */
    public LoadBound(Workload workload, long liveMillis) {
        this.workload = workload;
        this.liveMillis = liveMillis;
    }

    /**
     * Adds a request.
     *
     * @param request the request
     * @param nowMillis when it was sent
     */
    public void sent(PlannedRequest request, long nowMillis) {
        add(request.customer(), workload.houseTokens(), nowMillis);
        add(request.customer() + "/" + request.dossier(), workload.dossierTokens(), nowMillis);
        tokens += request.workClass().questionTokens();
    }

    private void add(String prefix, int length, long nowMillis) {
        Long used = usedAtMillis.put(prefix, nowMillis);
        if (used == null || nowMillis - used > liveMillis) {
            tokens += length;
        }
    }

    /**
     * Returns the bound.
     *
     * @return prompt tokens
     */
    public long tokens() {
        return tokens;
    }
}
