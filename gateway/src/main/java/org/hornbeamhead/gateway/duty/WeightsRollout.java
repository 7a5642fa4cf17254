package org.hornbeamhead.gateway.duty;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.hornbeamhead.core.weights.RolloutReplica;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** The changes that the holder of the duty has begun: which come next, and which have ended. */
final class WeightsRollout {
    /** Routers hear a notice within a round trip; a replica is ordered only then. */
    private static final long NOTICE_MILLIS = 20;

    /** How long a change lasts at least: a load of 1.2 s was over 1.3 s after its order, shorter ones wait for runs. */
    private static final long USUAL_CHANGE_MILLIS = 1_300;
    /** The shortest of so many changes tells how long loads take here; the others waited for their runs as well. */
    private static final int CHANGES_LOOKED_AT = 4;

    private final WeightsDuty.Parts parts;
    private final ChangeNotice notice;
    private final ChangeOrders orders;
    private final Map<String, WeightsChange> changes = new HashMap<>();
    private final Deque<Long> lastChanges = new ArrayDeque<>();

    /**
     * Makes a roll-out without changes.
     *
     * @param parts what the duty works with
     * @param lease the right to order
     * @param notice tells other routers
     */
    WeightsRollout(WeightsDuty.Parts parts, DutyLease lease, ChangeNotice notice) {
        this.parts = parts;
        this.notice = notice;
        this.orders = new ChangeOrders(parts.clock(), parts.orders(), lease, parts.self(), changes::remove);
    }

    /** Tells whether a change is under way or replicas are behind what is named. */
    boolean needed() {
        return !changes.isEmpty()
                || parts.weights().latestVersions().entrySet().stream().anyMatch(e -> behind(e.getKey(), e.getValue()));
    }

    long lastOrderAt() {
        return orders.lastOrderAt();
    }

    /** The duty is no longer held. */
    void drop() {
        changes.clear();
    }

    /** The duty was won: what was known before does not count. */
    void restart() {
        changes.clear();
        orders.forget();
    }

    void advance() {
        dropEnded();
        skipReplaced();
        begin();
        changes.forEach((id, c) -> parts.registry().get(id).ifPresent(replica -> orders.follow(replica, c)));
    }

    /**
     * Failure: a version is named before a replica was ordered to serve the one before, or while its order is lost.
     * Symptom: it loads weights that are already replaced, and is away from its callers twice.
     */
    private void skipReplaced() {
        changes.replaceAll((id, c) -> {
            long newest = parts.weights().latestVersion(c.model);
            return c.asked || c.asking || c.version >= newest ? c : c.towards(newest);
        });
    }

    private void dropEnded() {
        Map<String, Long> done = new HashMap<>();
        Set<String> gone = new HashSet<>();
        changes.forEach((id, c) -> {
            Optional<LiveReplica> replica = parts.registry().get(id);
            if (replica.isEmpty()) {
                gone.add(id);
            } else if (replica.get().weights(c.model) >= c.version) {
                done.put(id, c.version);
                noteDuration(c);
            }
        });
        if (!done.isEmpty() || !gone.isEmpty()) {
            changes.keySet().removeAll(done.keySet());
            changes.keySet().removeAll(gone);
            notice.tell(Set.copyOf(changes.keySet()), done);
        }
    }

    private void noteDuration(WeightsChange c) {
        if (c.asked) {
            lastChanges.addLast(now() - c.at);
        }
        if (lastChanges.size() > CHANGES_LOOKED_AT) {
            lastChanges.removeFirst();
        }
    }

    private long changeMillis() {
        long shortest = lastChanges.stream().mapToLong(Long::longValue).min().orElse(USUAL_CHANGE_MILLIS);
        return Math.max(USUAL_CHANGE_MILLIS, shortest);
    }

    private boolean behind(String model, long version) {
        return serving(model).stream().anyMatch(r -> r.weights(model) < version);
    }

    private List<LiveReplica> serving(String model) {
        return parts.registry().all().stream()
                .filter(r -> r.takesWork() && r.weights(model) > 0)
                .toList();
    }

    private void begin() {
        List<String> chosen = new ArrayList<>();
        parts.weights().latestVersions().forEach((model, version) -> {
            List<RolloutReplica> all = serving(model).stream()
                    .filter(r -> !silent(r.entry().run()))
                    .map(r -> seen(r, model))
                    .toList();
            parts.plan().next(all, version, changing(), changeMillis()).forEach(r -> {
                changes.put(r.id(), new WeightsChange(model, version, now()));
                chosen.add(r.id());
            });
        });
        if (!chosen.isEmpty()) {
            notice.tell(Set.copyOf(changes.keySet()), Map.of());
            parts.timers().schedule(NOTICE_MILLIS, () -> chosen.stream()
                    .filter(changes::containsKey)
                    .forEach(id -> changes.get(id).noticed = true));
        }
    }

    private RolloutReplica seen(LiveReplica replica, String model) {
        long version = replica.weights(model);
        return new RolloutReplica(
                replica.entry().run(), version, parts.weights().usableMillis(model, version, now()), used(replica));
    }

    /**
     * Failure: a replica lost its power and is still listed. Symptom: it is asked for its report in vain, and the
     * change of the others waits for it. It serves nobody, so it is neither counted nor waited for.
     */
    private boolean silent(String id) {
        return changes.containsKey(id) && changes.get(id).silent;
    }

    private Set<String> changing() {
        return changes.keySet().stream().filter(id -> !silent(id)).collect(Collectors.toSet());
    }

    private double used(LiveReplica replica) {
        return (double) replica.load().memoryTokens(now())
                / parts.memoryTokens().applyAsLong(replica.entry().service());
    }

    private long now() {
        return parts.clock().monotonicMillis();
    }
}
