package org.hornbeamhead.gateway.duty;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.hornbeamhead.core.route.EngineSpec;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.core.weights.RolloutPlan;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.WeightsView;

/** Orders replicas to load the target versions of weights while this router is the leader. */
public final class RolloutCoordinator {
    private static final long TICK_MILLIS = 50;
    /**
     * The interval while there is nothing to order. Only a vanished record has to be noticed then, which is not urgent.
     */
    private static final long IDLE_TICK_MILLIS = 500;
    /**
     * Added to the pause between two leaders, to allow for the delay of an order and for clocks that run at different
     * rates.
     */
    private static final long PAUSE_MARGIN_MILLIS = 300;

    private final Timers timers;
    private final Clock clock;
    private final LeaderLease lease;
    private final LeaderElection election;
    private final WeightsRollout rollout;
    private final long handoverPauseMillis;
    private boolean stopping;
    private long orderDeadline;
    private long nextTickAt;

    /**
     * The dependencies of a coordinator.
     *
     * @param timers the thread's timers
     * @param clock the clock
     * @param registry the replicas
     * @param weights the target versions of weights
     * @param orderClient sends orders to replicas
     * @param plan selects the replicas that change next
     * @param rank this router's place in the order in which routers try to become leader, from 0
     * @param engines returns the engines of a service; empty if it is not configured or has none
     * @param self this router's name
     * @param pauseMillis the minimum time between the orders of two leaders, in milliseconds
     * @param reachesService returns whether this host has a path to the replicas of a service; a router that reaches
     *     none of the replicas to change leaves the leadership to others
     */
    public record Dependencies(
            Timers timers,
            Clock clock,
            ReplicaRegistry registry,
            WeightsView weights,
            ReplicaOrderClient orderClient,
            RolloutPlan plan,
            IntSupplier rank,
            Function<String, Optional<EngineSpec>> engines,
            String self,
            long pauseMillis,
            Predicate<String> reachesService) {}

    /**
     * Creates a coordinator that is not the leader.
     *
     * @param dependencies the dependencies
     * @param lease the leader lease
     * @param notifier announces changes to other routers
     */
    RolloutCoordinator(Dependencies dependencies, LeaderLease lease, ChangeNotifier notifier) {
        this.timers = dependencies.timers();
        this.clock = dependencies.clock();
        this.lease = lease;
        this.handoverPauseMillis = dependencies.pauseMillis() + PAUSE_MARGIN_MILLIS;
        this.rollout = new WeightsRollout(dependencies, lease, notifier);
        this.election = new LeaderElection(clock, lease, dependencies.rank(), handoverPauseMillis, rollout::reset);
    }

    /** Starts the coordinator, which runs until the process ends. */
    public void start() {
        nextTickAt = now();
        tick(nextTickAt);
    }

    /** Moves the next tick forward. Called when a target version is set or replicas change. */
    void wakeUp() {
        long left = nextTickAt - now();
        if (left > TICK_MILLIS) {
            scheduleTick(now() + (left - 1) % TICK_MILLIS + 1);
        }
    }

    private void scheduleTick(long dueAt) {
        nextTickAt = dueAt;
        timers.schedule(dueAt - now(), () -> tick(dueAt));
    }

    /** Runs a tick, unless an earlier one replaced it after it was scheduled. */
    private void tick(long dueAt) {
        if (dueAt != nextTickAt) {
            return;
        }
        boolean busy = update() || lease.isHeld() || stopping;
        scheduleTick(now() + (busy ? TICK_MILLIS : IDLE_TICK_MILLIS));
    }

    /**
     * Prepares for the end of the process: the router does not become leader any more, and hands over the lease if it
     * holds it.
     *
     * <p>If the record vanished with its lease instead, the next leader could not know when the last order was sent and
     * would wait for the whole pause from when it finds the record absent. When all routers are restarted one after the
     * other, replicas would then get hardly any orders. A change in progress continues, since it may finish before the
     * lease has to be handed over.
     *
     * @param orderMillis how long orders may still be sent, in milliseconds
     */
    void stop(long orderMillis) {
        stopping = true;
        orderDeadline = now() + orderMillis;
    }

    /** Performs one step, and returns whether there are orders to send. */
    private boolean update() {
        boolean needed = rollout.isNeeded();
        election.recordNeed(needed);
        if (lease.isHeld()) {
            lead(needed);
        } else if (!stopping && (!needed || rollout.hasReachableWork())) {
            election.tryAcquire(needed);
        }
        return needed;
    }

    private void lead(boolean needed) {
        lease.renewIfDue();
        if (lease.fencingToken().isEmpty()) {
            rollout.clear();
        } else if (needed && !rollout.hasReachableWork()) {
            handOver();
        } else if (stopping && (!needed || isPauseOver() || now() >= orderDeadline)) {
            handOver();
        } else {
            advanceRollout(needed);
        }
    }

    /** A leader that has not sent an order yet hands over the rest of its own pause. */
    private void handOver() {
        rollout.clear();
        long availableAt = Math.max(election.earliestOrderAt(), rollout.lastOrderAt() + handoverPauseMillis);
        lease.release(Math.max(0, availableAt - now()));
    }

    private boolean isPauseOver() {
        return now() - rollout.lastOrderAt() > handoverPauseMillis;
    }

    private void advanceRollout(boolean needed) {
        if (now() < election.earliestOrderAt()) {
            return;
        }
        rollout.advance();
        if (!needed && isPauseOver()) {
            lease.release(0);
        }
    }

    private long now() {
        return clock.monotonicMillis();
    }
}
