package org.hornbeamhead.gateway.duty;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.core.weights.RolloutPlan;
import org.hornbeamhead.core.weights.WeightsReplica;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.duty.ReplicaOrders.Reply;
import org.hornbeamhead.gateway.duty.ReplicaOrders.Report;
import org.hornbeamhead.gateway.duty.ReplicaOrders.WeightsOrder;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.WeightsView;

/** Brings replicas to the named weights, when this router has the right to order it. */
public final class WeightsDuty {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long TICK_MILLIS = 50;
    /** A report is as of some hundred milliseconds ago; asking more often tells nothing new. */
    private static final long REPORT_EVERY_MILLIS = 150;
    /** Routers hear a notice within a round trip; a replica is ordered only then. */
    private static final long NOTICE_MILLIS = 20;
    /**
     * An order without an answer, at a replica that is idle and unchanged after this time, was lost: it is given again.
     */
    private static final long LOST_ORDER_MILLIS = 700;
    /** How much later each further router tries to take the duty, so that one try at a time is made. */
    private static final long RANK_MILLIS = 250;

    private static final long GUARD_MILLIS = 300;
    /**
     * How often a replica that gave no report is asked again. Failure: a replica that was dark for 1.5 s is found to be
     * back a second later. Symptom: its weights go out of use first. A quarter of a second keeps it to a few calls.
     */
    private static final long SILENT_EVERY_MILLIS = 250;

    /** How long a change lasts at least: a load of 1.2 s was over 1.3 s after its order, shorter ones wait for runs. */
    private static final long USUAL_CHANGE_MILLIS = 1_300;
    /** The shortest of so many changes tells how long loads take here; the others waited for their runs as well. */
    private static final int CHANGES_LOOKED_AT = 4;

    private final Timers timers;
    private final Clock clock;
    private final ReplicaRegistry registry;
    private final WeightsView weights;
    private final ReplicaOrders orders;
    private final DutyLease lease;
    private final ChangeNotice notice;
    private final RolloutPlan plan;
    private final IntSupplier rank;
    private final ToLongFunction<String> memoryTokens;
    private final String self;
    private final long pauseMillis;
    private final Map<String, Change> changes = new HashMap<>();
    private final Map<String, Long> ordersSeen = new HashMap<>();
    private long absentSince = -1;
    private long neededSince = -1;
    private long orderNotBefore;
    private final Deque<Long> lastChanges = new ArrayDeque<>();
    private long lastOrderAt = Long.MIN_VALUE / 2;
    private boolean stopping;
    private long orderUntil;

    private static final class Change {
        private final String model;
        private final long version;
        private boolean noticed;
        private boolean asked;
        private long at;
        private long reportedAt;
        private boolean silent;

        Change(String model, long version, long at) {
            this.model = model;
            this.version = version;
            this.at = at;
        }
    }

    /**
     * What the duty works with.
     *
     * @param timers the thread's timers
     * @param clock the clock
     * @param registry the replicas
     * @param weights the named weights
     * @param orders gives orders
     * @param plan which replicas come next
     * @param rank this router's place in the order in which routers try to take the duty, from 0
     * @param memoryTokens the tokens that fit into an engine of a service
     * @param self this router's name
     * @param pauseMillis how long two holders must be apart, in milliseconds
     */
    public record Parts(
            Timers timers,
            Clock clock,
            ReplicaRegistry registry,
            WeightsView weights,
            ReplicaOrders orders,
            RolloutPlan plan,
            IntSupplier rank,
            ToLongFunction<String> memoryTokens,
            String self,
            long pauseMillis) {}

    /**
     * Makes a duty that is not held.
     *
     * @param parts what it works with
     * @param lease the right to order
     * @param notice tells other routers
     */
    WeightsDuty(Parts parts, DutyLease lease, ChangeNotice notice) {
        this.timers = parts.timers();
        this.clock = parts.clock();
        this.registry = parts.registry();
        this.weights = parts.weights();
        this.orders = parts.orders();
        this.plan = parts.plan();
        this.rank = parts.rank();
        this.memoryTokens = parts.memoryTokens();
        this.self = parts.self();
        this.pauseMillis = parts.pauseMillis();
        this.lease = lease;
        this.notice = notice;
    }

    /** Looks after the duty until the process ends. */
    public void start() {
        step();
        timers.schedule(TICK_MILLIS, this::start);
    }

    /**
     * Prepares for the end of the process: the duty is taken no more, and handed over when it is held.
     *
     * <p>Failure: the duty vanishes with its holder's lease. Symptom: the next holder cannot know of the last order and
     * waits out the whole pause from when it finds the duty gone; when all routers are restarted in turn, replicas are
     * hardly ordered. A change that is under way goes on, since it may be over before the duty has to move.
     *
     * @param orderMillis how long orders may still be given, in milliseconds
     */
    void stop(long orderMillis) {
        stopping = true;
        orderUntil = now() + orderMillis;
    }

    private void step() {
        boolean needed =
                !changes.isEmpty() || weights.all().entrySet().stream().anyMatch(e -> behind(e.getKey(), e.getValue()));
        neededSince = needed ? (neededSince < 0 ? now() : neededSince) : -1;
        if (lease.isHeld()) {
            hold(needed);
        } else if (!stopping) {
            seek(needed);
        }
    }

    private void hold(boolean needed) {
        lease.keep();
        if (lease.fence().isEmpty()) {
            changes.clear();
        } else if (stopping && (!needed || orderedLongAgo() || now() >= orderUntil)) {
            handOver();
        } else {
            work(needed);
        }
    }

    /** A holder that took over and has not ordered yet hands on what is left of its own wait. */
    private void handOver() {
        changes.clear();
        long freeAt = Math.max(orderNotBefore, lastOrderAt + pauseMillis + GUARD_MILLIS);
        lease.release(Math.max(0, freeAt - now()));
    }

    private boolean orderedLongAgo() {
        return now() - lastOrderAt > pauseMillis + GUARD_MILLIS;
    }

    private void seek(boolean needed) {
        if (lease.record().isPresent()) {
            absentSince = -1;
            if (needed && myTurn(neededSince)) {
                lease.freeFrom().ifPresent(this::take);
            }
            return;
        }
        absentSince = absentSince < 0 ? now() : absentSince;
        boolean longAbsent = now() - absentSince > pauseMillis + GUARD_MILLIS;
        if (needed && myTurn(Math.max(neededSince, absentSince))) {
            take(absentSince + pauseMillis + GUARD_MILLIS - DutyLease.MARGIN_MILLIS);
        } else if (!needed && longAbsent && myTurn(absentSince + pauseMillis + GUARD_MILLIS)) {
            lease.markFree().subscribe((v, e) -> absentSince = -1);
        }
    }

    private boolean myTurn(long since) {
        return now() - since >= rank.getAsInt() * RANK_MILLIS;
    }

    private void take(long notBefore) {
        lease.take().subscribe((taken, e) -> {
            if (e == null && taken) {
                orderNotBefore = notBefore;
                changes.clear();
                ordersSeen.clear();
            } else {
                neededSince = now();
            }
        });
    }

    private void work(boolean needed) {
        if (now() < orderNotBefore) {
            return;
        }
        dropEnded();
        begin();
        changes.forEach(this::follow);
        if (!needed && orderedLongAgo()) {
            lease.release(0);
        }
    }

    private void dropEnded() {
        Map<String, Long> done = new HashMap<>();
        Set<String> gone = new HashSet<>();
        changes.forEach((id, c) -> {
            Optional<LiveReplica> replica = registry.get(id);
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

    private void noteDuration(Change c) {
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
        return registry.all().stream()
                .filter(r -> r.takesWork() && r.weights(model) > 0)
                .toList();
    }

    private void begin() {
        List<String> chosen = new ArrayList<>();
        weights.all().forEach((model, version) -> {
            List<WeightsReplica> all = serving(model).stream()
                    .filter(r -> !silent(r.entry().run()))
                    .map(r -> seen(r, model))
                    .toList();
            plan.next(all, version, changing(), changeMillis()).forEach(r -> {
                changes.put(r.id(), new Change(model, version, now()));
                chosen.add(r.id());
            });
        });
        if (!chosen.isEmpty()) {
            notice.tell(Set.copyOf(changes.keySet()), Map.of());
            timers.schedule(
                    NOTICE_MILLIS,
                    () -> chosen.stream().filter(changes::containsKey).forEach(id -> changes.get(id).noticed = true));
        }
    }

    private WeightsReplica seen(LiveReplica replica, String model) {
        long version = replica.weights(model);
        return new WeightsReplica(
                replica.entry().run(), version, weights.usableMillis(model, version, now()), used(replica));
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
                / memoryTokens.applyAsLong(replica.entry().service());
    }

    private void follow(String id, Change c) {
        registry.get(id).ifPresent(replica -> {
            boolean known = ordersSeen.containsKey(id);
            if (c.noticed && !c.asked && known) {
                give(replica, c);
            } else if ((c.asked || !known)
                    && now() - c.reportedAt > (c.silent ? SILENT_EVERY_MILLIS : REPORT_EVERY_MILLIS)) {
                ask(replica, c);
            }
        });
    }

    private void ask(LiveReplica replica, Change c) {
        c.reportedAt = now();
        orders.report(replica.entry()).subscribe((report, e) -> {
            c.silent = e != null;
            if (e == null) {
                reported(replica, c, report);
            } else {
                logger.atInfo()
                        .with(Logs.REPLICA, replica.entry().id())
                        .with(Logs.DECISION, "no report")
                        .with(Logs.REASON, String.valueOf(e.getMessage()))
                        .log("the replica does not report");
            }
        });
    }

    private void give(LiveReplica replica, Change c) {
        OptionalLong fence = lease.fence();
        if (fence.isEmpty()) {
            return;
        }
        c.asked = true;
        c.at = now();
        c.reportedAt = now();
        lastOrderAt = now();
        long before = ordersSeen.get(replica.entry().run());
        WeightsOrder order = new WeightsOrder(c.model, c.version, self, fence.getAsLong(), before);
        logger.atInfo()
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "weights ordered")
                .with(Logs.INPUTS, order.toString())
                .log("order to serve version %d", c.version);
        orders.give(replica.entry(), order).subscribe((reply, e) -> answered(replica, c, before, reply, e));
    }

    private void answered(LiveReplica replica, Change c, long before, Reply reply, Exception e) {
        logger.atInfo()
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "order answered")
                .log("order to serve version %d: %s", c.version, e == null ? reply : e.getMessage());
        if (reply == Reply.ACCEPTED) {
            ordersSeen.put(replica.entry().run(), before + 1);
        } else if (reply == Reply.ALREADY) {
            replica.sawWeights(c.version);
        } else if (reply == Reply.REFUSED) {
            changes.remove(replica.entry().run());
        }
    }

    /** A report or an entry that tells no start may be of any run; holding it back would stop the change for good. */
    private static boolean isOfAnotherRun(Report report, LiveReplica replica) {
        long listed = replica.entry().startedAt();
        return listed != 0 && report.startedAt() != 0 && report.startedAt() != listed;
    }

    private void reported(LiveReplica replica, Change c, Report report) {
        if (isOfAnotherRun(report, replica)) {
            return;
        }
        String id = replica.entry().run();
        ordersSeen.merge(id, report.orders(), Math::max);
        long version = report.weights().getOrDefault(c.model, 0L);
        replica.sawWeights(version);
        boolean idle = !report.busy() && version < c.version;
        if (idle && now() - c.at > LOST_ORDER_MILLIS) {
            c.asked = false;
        }
    }

    private long now() {
        return clock.monotonicMillis();
    }
}
