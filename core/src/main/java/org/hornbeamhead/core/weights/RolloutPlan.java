package org.hornbeamhead.core.weights;

import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Decides which replicas change their weights next: those with the least work first, as many at once as the others can
 * stand in for.
 *
 * <p>Answers the load of weights that are named often. Answers on replaced weights are soon worth less, so that a
 * change of all replicas has to be short; but each replica that changes takes no requests, waits for its runs, and
 * comes back without cached prompts.
 *
 * @param atOnce the loads that run beside each other without slowing down, however few replicas there are; from the
 *     deployments' sheets
 */
public record RolloutPlan(int atOnce) {
    /**
     * The part of an engine's memory that may be in use while others stand in for it. Beyond it requests wait for
     * memory, which costs more than a change that takes longer.
     */
    private static final double BEARABLE_PART = 0.6;
    /** However idle the replicas are, this part of them goes on serving: a crash beside a change must not stop all. */
    private static final double SERVING_PART = 0.5;
    /**
     * Of many replicas this part changes at once however loaded they are. Failure: 42 busy engines change two at a
     * time, each waits seconds for its runs to end, and the bound on replaced weights comes first. Symptom: for two
     * seconds nearly all requests are given back. On the sheets loads slow one another beyond 2 of 6 to 8 engines and
     * 12 of 42.
     */
    private static final double ANYWAY_PART = 0.29;

    /** Checks the number. */
    public RolloutPlan {
        if (atOnce < 1) {
            throw new IllegalArgumentException("at least one replica must change at a time, not " + atOnce);
        }
    }

    /**
     * Chooses the next replicas.
     *
     * @param all the replicas that take orders, those included that are done
     * @param target the named version
     * @param changing those that were ordered and have not finished
     * @return the replicas to order now, in order
     */
    public List<WeightsReplica> next(List<WeightsReplica> all, long target, Set<String> changing) {
        return all.stream()
                .filter(r -> r.version() < target && !changing.contains(r.id()))
                .sorted(Comparator.comparingDouble(WeightsReplica::used).thenComparing(WeightsReplica::id))
                .limit(Math.max(0, width(all) - changing.size()))
                .toList();
    }

    /** How many of the replicas may change beside each other. */
    private int width(List<WeightsReplica> all) {
        double used = all.stream().mapToDouble(WeightsReplica::used).sum();
        int needed = (int) Math.ceil(used / BEARABLE_PART);
        int most = (int) Math.floor(all.size() * (1 - SERVING_PART));
        int anyway = Math.max(atOnce, (int) Math.floor(all.size() * ANYWAY_PART));
        return Math.max(anyway, Math.min(most, all.size() - needed));
    }
}
