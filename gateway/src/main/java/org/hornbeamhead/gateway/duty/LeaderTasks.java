package org.hornbeamhead.gateway.duty;

import java.util.function.Predicate;
import org.hornbeamhead.core.mirror.StoreMirror;
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

/** The tasks that one router, the leader, performs for all routers. */
public final class LeaderTasks {
    private final RolloutCoordinator rolloutCoordinator;

    /**
     * The dependencies of the tasks.
     *
     * @param timers the thread's timers
     * @param clock the clock
     * @param registry the replicas
     * @param weights the target versions of weights
     * @param orderClient sends orders to replicas
     * @param store the platform's store
     * @param mirror the mirror of the store
     * @param notifier announces changes to other routers
     * @param reachesService returns whether this host has a path to the replicas of a service
     */
    public record Dependencies(
            Timers timers,
            Clock clock,
            ReplicaRegistry registry,
            WeightsView weights,
            ReplicaOrderClient orderClient,
            PlatformStore store,
            StoreMirror mirror,
            PeerChangeNotifier notifier,
            Predicate<String> reachesService) {}

    /**
     * Creates the tasks; this router is not the leader yet.
     *
     * @param dependencies the dependencies
     * @param settings this router's settings
     * @param routers the other routers
     * @param state the configuration
     */
    public LeaderTasks(Dependencies dependencies, RouterSettings settings, RouterList routers, RoutingState state) {
        String self = settings.self().node();
        RolloutCoordinator.Dependencies coordinatorDependencies = new RolloutCoordinator.Dependencies(
                dependencies.timers(),
                dependencies.clock(),
                dependencies.registry(),
                dependencies.weights(),
                dependencies.orderClient(),
                new RolloutPlan(
                        settings.parallelLoads(),
                        settings.supersededWeightsLimit().toMillis()),
                routers::rank,
                service -> state.config().flatMap(c -> c.findService(service)).flatMap(ServiceSpec::engine),
                self,
                settings.leaderPause().toMillis(),
                dependencies.reachesService());
        rolloutCoordinator = new RolloutCoordinator(
                coordinatorDependencies,
                new LeaderLease(dependencies.clock(), dependencies.store(), dependencies.mirror(), self),
                dependencies.notifier());
    }

    /** Starts the tasks. */
    public void start() {
        rolloutCoordinator.start();
    }

    /** Checks at the next tick for work, after a target version was set or a replica changed. */
    public void wakeUp() {
        rolloutCoordinator.wakeUp();
    }

    /**
     * Prepares for the end of the process: the router does not become leader any more, and hands over the leadership if
     * it has it.
     *
     * @param workMillis how long the leader may go on sending orders, in milliseconds
     */
    public void stop(long workMillis) {
        rolloutCoordinator.stop(workMillis);
    }
}
