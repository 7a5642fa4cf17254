package org.hornbeamhead.gateway.duty;

import java.util.function.IntSupplier;
import java.util.function.ToLongFunction;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.core.weights.RolloutPlan;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.WeightsView;

/** Brings replicas to the named weights, when this router has the right to order it. */
public final class WeightsDuty {
    private static final long TICK_MILLIS = 50;
    /** While nothing is to be ordered: only a key that vanished is to be noticed, which is not urgent. */
    private static final long IDLE_TICK_MILLIS = 500;
    /** Added to the pause between two holders, for an order's way and for clocks that run apart. */
    private static final long GUARD_MILLIS = 300;

    private final Timers timers;
    private final Clock clock;
    private final DutyLease lease;
    private final DutySeeker seeker;
    private final WeightsRollout rollout;
    private final long apartMillis;
    private boolean stopping;
    private long orderUntil;
    private long nextTickAt;

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
        this.lease = lease;
        this.apartMillis = parts.pauseMillis() + GUARD_MILLIS;
        this.rollout = new WeightsRollout(parts, lease, notice);
        this.seeker = new DutySeeker(clock, lease, parts.rank(), apartMillis, rollout::restart);
    }

    /** Looks after the duty until the process ends. */
    public void start() {
        nextTickAt = now();
        tick(nextTickAt);
    }

    /** Looks soon whether there is something to order. It is called when weights are named or replicas change. */
    void look() {
        long left = nextTickAt - now();
        if (left > TICK_MILLIS) {
            tickAt(now() + (left - 1) % TICK_MILLIS + 1);
        }
    }

    private void tickAt(long dueAt) {
        nextTickAt = dueAt;
        timers.schedule(dueAt - now(), () -> tick(dueAt));
    }

    /** A look between two ticks replaces the tick that was scheduled before. */
    private void tick(long dueAt) {
        if (dueAt != nextTickAt) {
            return;
        }
        boolean busy = step() || lease.isHeld() || stopping;
        tickAt(now() + (busy ? TICK_MILLIS : IDLE_TICK_MILLIS));
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

    /** Tells whether there is something to order. */
    private boolean step() {
        boolean needed = rollout.needed();
        seeker.note(needed);
        if (lease.isHeld()) {
            hold(needed);
        } else if (!stopping) {
            seeker.seek(needed);
        }
        return needed;
    }

    private void hold(boolean needed) {
        lease.keep();
        if (lease.fence().isEmpty()) {
            rollout.drop();
        } else if (stopping && (!needed || orderedLongAgo() || now() >= orderUntil)) {
            handOver();
        } else {
            work(needed);
        }
    }

    /** A holder that took over and has not ordered yet hands on what is left of its own wait. */
    private void handOver() {
        rollout.drop();
        long freeAt = Math.max(seeker.orderNotBefore(), rollout.lastOrderAt() + apartMillis);
        lease.release(Math.max(0, freeAt - now()));
    }

    private boolean orderedLongAgo() {
        return now() - rollout.lastOrderAt() > apartMillis;
    }

    private void work(boolean needed) {
        if (now() < seeker.orderNotBefore()) {
            return;
        }
        rollout.advance();
        if (!needed && orderedLongAgo()) {
            lease.release(0);
        }
    }

    private long now() {
        return clock.monotonicMillis();
    }
}
