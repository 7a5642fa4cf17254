package org.hornbeamhead.gateway.state;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.hornbeamhead.core.engine.LoadHint;

/** The hints to one group of routers: each contains what happened since the one before. */
final class HintSequence {
    private final List<LoadHint.SentRequest> pendingSends = new ArrayList<>();
    private List<LoadHint.ReplicaLoad> lastTotals = List.of();

    void recordSent(LoadHint.SentRequest sent) {
        pendingSends.add(sent);
    }

    /** Returns whether anything has changed since the last hint. */
    boolean hasChanges(List<LoadHint.ReplicaLoad> totals) {
        return !pendingSends.isEmpty() || !totals.equals(lastTotals);
    }

    /** Returns the next hint. */
    LoadHint next(int requestsPerSecond, List<LoadHint.ReplicaLoad> totals) {
        LoadHint hint = new LoadHint(requestsPerSecond, withFinished(totals), pendingSends);
        lastTotals = totals;
        pendingSends.clear();
        return hint;
    }

    /** Adds a zero total for each replica on which all requests of this router have ended. */
    private List<LoadHint.ReplicaLoad> withFinished(List<LoadHint.ReplicaLoad> totals) {
        Stream<LoadHint.ReplicaLoad> finished = lastTotals.stream()
                .filter(t -> totals.stream().noneMatch(n -> n.replica() == t.replica()))
                .map(t -> new LoadHint.ReplicaLoad(t.replica(), 0, 0, 0));
        return Stream.concat(totals.stream(), finished).toList();
    }
}
