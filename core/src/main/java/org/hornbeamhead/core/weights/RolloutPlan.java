package org.hornbeamhead.core.weights;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Decides which replicas change their weights next: those with the least work first, as many at once as the others can
 * stand in for.
 *
 * <p>Answers the load of weights that are named often. Answers on replaced weights are soon worth less, so that a
 * change of all replicas has to be short; but each replica that changes takes no requests, waits for its runs, and
 * comes back without cached prompts.
 *
 * @param atOnce the loads that run beside each other without slowing down, however few replicas there are; from the
 *     deployments' sheets. So many change at a time when no replica can be spared: the shortage comes anyway, and is
 *     over sooner
 * @param boundMillis the time after which no request may begin on replaced weights, in milliseconds
 */
public record RolloutPlan(int atOnce, long boundMillis) {
    /**
     * The part of the bound in which all replicas should have changed. The rest is kept until the end, however little
     * time is left: for a holder that is lost, and for replicas that are dark or wait for long runs when ordered.
     */
    private static final double BOUND_PART = 0.8;
    /**
     * The part of an engine's memory that may be in use while others stand in for it. Failure: half of six engines that
     * use a third of their memory change at once. Symptom: the others read prompts between the tokens of twice as many
     * answers, and the largest requests are late or given back. Beyond this part an engine has no time to spare,
     * whatever its memory.
     */
    private static final double BEARABLE_PART = 0.4;
    /**
     * Beyond this part in use replicas are short before any of them changes. Answers that run longer because of the
     * change itself are no shortage.
     */
    private static final double SHORT_PART = 0.65;
    /** However idle the replicas are, this part of them goes on serving: a crash beside a change must not stop all. */
    private static final double SERVING_PART = 0.5;
    /**
     * This part of the replicas changes at once however loaded they are. Failure: 42 busy engines change two at a time,
     * each waits seconds for its runs to end, and the bound on replaced weights comes first. Symptom: for two seconds
     * nearly all requests are given back.
     */
    private static final double ANYWAY_PART = 0.29;

    /**
     * Failure: a version is named during a change, and the replicas that have just loaded the one before, being idle,
     * go first again. Symptom: a busy replica waits on a version until it is out of use, and requests begin there too
     * late.
     */
    private static final Comparator<WeightsReplica> ORDER = Comparator.comparingLong(WeightsReplica::usableMillis)
            .thenComparingDouble(WeightsReplica::used)
            .thenComparing(WeightsReplica::id);

    /** Checks the numbers. */
    public RolloutPlan {
        if (boundMillis <= 0) {
            throw new IllegalArgumentException("the bound on replaced weights must be positive, not " + boundMillis);
        }
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
     * @param changeMillis how long a replica takes from its order to the new weights, in milliseconds
     * @return the replicas to order now, in order
     */
    public List<WeightsReplica> next(List<WeightsReplica> all, long target, Set<String> changing, long changeMillis) {
        return all.stream()
                .filter(r -> r.version() < target && !changing.contains(r.id()))
                .sorted(ORDER)
                .limit(Math.max(0, width(all, target, changeMillis) - changing.size()))
                .toList();
    }

    /**
     * How many of the replicas may change beside each other: as many as can be spared, and as few as keep to the bound
     * when none can. When replicas are short anyway, as after a crash, as many as load beside each other without
     * slowing down, so that the shortage is brief.
     */
    private int width(List<WeightsReplica> all, long target, long changeMillis) {
        double used = all.stream().mapToDouble(WeightsReplica::used).sum();
        int spare = all.size() - (int) Math.ceil(used / BEARABLE_PART);
        int most = (int) Math.floor(all.size() * (1 - SERVING_PART));
        int keepsToBound = Math.max(1, Math.min(most, inTime(all, target, changeMillis)));
        int least = Math.max(keepsToBound, (int) Math.floor(all.size() * ANYWAY_PART));
        if (used > all.size() * SHORT_PART) {
            return Math.max(atOnce, least);
        }
        return Math.max(least, Math.min(most, spare));
    }

    /**
     * How many must change at once so that none is on a version that is out of use. Each version has its own time left,
     * and all replicas whose versions go out of use no later have to be done by then.
     */
    private int inTime(List<WeightsReplica> all, long target, long changeMillis) {
        long reserve = Math.round(boundMillis * (1 - BOUND_PART));
        List<Long> left = all.stream()
                .filter(r -> r.version() < target)
                .map(r -> Math.max(1, Math.min(boundMillis, r.usableMillis()) - reserve))
                .sorted()
                .toList();
        return (int) IntStream.range(0, left.size())
                .mapToLong(i -> Math.round((double) (i + 1) * changeMillis / left.get(i)))
                .max()
                .orElse(0);
    }
}
