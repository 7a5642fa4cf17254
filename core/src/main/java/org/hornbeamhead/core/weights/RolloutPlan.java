package org.hornbeamhead.core.weights;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Decides which replicas change their weights next: those with the least work first, as many at once as the others can
 * replace.
 *
 * <p>Weights may be published often. Answers on superseded weights soon lose value, so a rollout to all replicas must
 * be short; but each replica that changes accepts no requests, waits for its running ones, and restarts with an empty
 * cache.
 *
 * @param parallelLoads the number of loads that run in parallel without slowing down, however few replicas there are,
 *     as the deployments state. This many replicas change at a time when none can be spared: the shortage is
 *     unavoidable, and ends sooner
 * @param boundMillis the time after which no request may start on superseded weights, in milliseconds
 */
public record RolloutPlan(int parallelLoads, long boundMillis) {
    /**
     * Share of the bound in which all replicas should have changed. The rest is reserved, however little time is left,
     * for the loss of the holder of the rollout duty and for replicas that are unreachable or wait for long requests
     * when ordered.
     */
    private static final double DEADLINE_SHARE = 0.8;
    /**
     * Largest memory use of the remaining engines during a change. When half of six engines that use a third of their
     * memory change at once, the others prefill between the tokens of twice as many answers, and the largest requests
     * are late or rejected. Above this use an engine has no time to spare, whatever its memory.
     */
    private static final double MAX_REMAINING_USE = 0.4;
    /**
     * Memory use above which replicas are short before any of them changes. Answers that take longer because of the
     * change itself are not a shortage.
     */
    private static final double SHORTAGE_USE = 0.65;
    /**
     * Share of the replicas that keeps serving, however idle they are: a crash during a change must not stop all
     * service.
     */
    private static final double MIN_SERVING_SHARE = 0.5;
    /**
     * Share of the replicas that changes at once, however loaded they are. With 42 busy engines that change two at a
     * time, each waiting seconds for its requests to end, the bound on superseded weights is reached first, and for two
     * seconds nearly all requests are rejected.
     */
    private static final double MIN_CHANGING_SHARE = 0.29;

    /**
     * Orders replicas by the time left for their version, then by load. Ordered by load alone, replicas that have just
     * loaded the previous version are idle and would go first when another version is named during a rollout; a busy
     * replica would keep an older version until it expires, and requests would start there too late.
     */
    private static final Comparator<RolloutReplica> BY_URGENCY = Comparator.comparingLong(RolloutReplica::usableMillis)
            .thenComparingDouble(RolloutReplica::memoryUse)
            .thenComparing(RolloutReplica::id);

    /** Validates the limits. */
    public RolloutPlan {
        if (boundMillis <= 0) {
            throw new IllegalArgumentException(
                    "the bound on superseded weights must be positive, but is " + boundMillis);
        }
        if (parallelLoads < 1) {
            throw new IllegalArgumentException(
                    "at least one replica must load weights at a time, but the limit is " + parallelLoads);
        }
    }

    /**
     * Selects the replicas to change next.
     *
     * @param replicas the replicas that accept orders, including those that are done
     * @param target the target version
     * @param changing the replicas that were ordered and have not finished; those of other models do not count
     * @param changeMillis how long a replica takes from its order to the new weights, in milliseconds
     * @return the replicas to order now, in order
     */
    public List<RolloutReplica> next(
            List<RolloutReplica> replicas, long target, Set<String> changing, long changeMillis) {
        long changingHere =
                replicas.stream().filter(r -> changing.contains(r.id())).count();
        return replicas.stream()
                .filter(r -> r.version() < target && !changing.contains(r.id()))
                .sorted(BY_URGENCY)
                .limit(Math.max(0, maxChanging(replicas, target, changeMillis) - changingHere))
                .toList();
    }

    /**
     * Returns how many replicas may change in parallel: as many as can be spared, and when none can, as few as meet the
     * bound. When replicas are short anyway, as after a crash, the result is at least the number of loads that run in
     * parallel without slowing down, so that the shortage is brief.
     */
    private int maxChanging(List<RolloutReplica> replicas, long target, long changeMillis) {
        double memoryUse =
                replicas.stream().mapToDouble(RolloutReplica::memoryUse).sum();
        int spare = replicas.size() - (int) Math.ceil(memoryUse / MAX_REMAINING_USE);
        int maxSpared = (int) Math.floor(replicas.size() * (1 - MIN_SERVING_SHARE));
        int required = Math.max(1, Math.min(maxSpared, requiredByDeadline(replicas, target, changeMillis)));
        int minChanging = Math.max(required, (int) Math.floor(replicas.size() * MIN_CHANGING_SHARE));
        if (memoryUse > replicas.size() * SHORTAGE_USE) {
            return Math.max(parallelLoads, minChanging);
        }
        return Math.max(minChanging, Math.min(maxSpared, spare));
    }

    /**
     * Returns how many replicas must change in parallel so that none serves an expired version. Each version has its
     * own time left, within which all replicas whose versions expire no later must be done.
     */
    private int requiredByDeadline(List<RolloutReplica> replicas, long target, long changeMillis) {
        long reserveMillis = Math.round(boundMillis * (1 - DEADLINE_SHARE));
        List<Long> timesLeft = replicas.stream()
                .filter(r -> r.version() < target)
                .map(r -> Math.max(1, Math.min(boundMillis, r.usableMillis()) - reserveMillis))
                .sorted()
                .toList();
        return (int) IntStream.range(0, timesLeft.size())
                .mapToLong(i -> Math.round((double) (i + 1) * changeMillis / timesLeft.get(i)))
                .max()
                .orElse(0);
    }
}
