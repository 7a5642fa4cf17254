package org.hornbeamhead.gateway.duty;

import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.route.EngineSpec;
import org.hornbeamhead.core.route.ServiceSpec;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.core.weights.RolloutPlan;
import org.hornbeamhead.gateway.RouterSettings;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.PlatformStore;
import org.hornbeamhead.gateway.state.RouterList;
import org.hornbeamhead.gateway.state.RoutingState;
import org.hornbeamhead.gateway.state.WeightsView;

/** The work that one router does for all of them. */
public final class Duties {
    private final WeightsDuty weightsDuty;

    /**
     * What duties work with.
     *
     * @param timers the thread's timers
     * @param clock the clock
     * @param registry the replicas
     * @param weights the named weights
     * @param orders gives orders
     * @param store the platform's store
     * @param mirror its mirror
     * @param notice tells other routers
     */
    public record Parts(
            Timers timers,
            Clock clock,
            ReplicaRegistry registry,
            WeightsView weights,
            ReplicaOrders orders,
            PlatformStore store,
            StoreMirror mirror,
            SteerNotice notice) {}

    /**
     * Makes the duties, none of them held.
     *
     * @param p what they work with
     * @param settings this router's settings
     * @param routers the other routers
     * @param state the configuration
     */
    public Duties(Parts p, RouterSettings settings, RouterList routers, RoutingState state) {
        String self = settings.self().node();
        WeightsDuty.Parts parts = new WeightsDuty.Parts(
                p.timers(),
                p.clock(),
                p.registry(),
                p.weights(),
                p.orders(),
                new RolloutPlan(settings.loadsAtOnce(), settings.weightsBound().toMillis()),
                routers::rank,
                service -> state.config()
                        .flatMap(c -> c.findService(service))
                        .flatMap(ServiceSpec::engine)
                        .map(EngineSpec::kvCapacityTokens)
                        .orElse(1L),
                self,
                settings.holderPause().toMillis());
        weightsDuty = new WeightsDuty(parts, new DutyLease(p.clock(), p.store(), p.mirror(), self), p.notice());
    }

    /** Begins to look after the duties. */
    public void start() {
        weightsDuty.start();
    }

    /** Looks at once whether there is something to do, since weights were named or a replica changed. */
    public void look() {
        weightsDuty.look();
    }

    /**
     * Prepares for the end of the process: duties are taken no more, and handed over.
     *
     * @param workMillis how long a duty that is held may still be worked at, in milliseconds
     */
    public void stop(long workMillis) {
        weightsDuty.stop(workMillis);
    }
}
