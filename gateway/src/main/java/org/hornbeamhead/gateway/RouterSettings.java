package org.hornbeamhead.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.hornbeamhead.gateway.dispatch.Dispatcher.RetryBudgetLimits;
import org.hornbeamhead.gateway.state.RouterEntry;

/**
 * The settings of a router.
 *
 * @param self this router
 * @param callerAddress the address at which callers connect
 * @param peerAddress the address at which other routers connect
 * @param hintAddress the address to which other routers send hints
 * @param metricsAddress the address at which metrics are served
 * @param seeds addresses of other routers, possibly outdated
 * @param firstStart whether the whole system starts for the first time
 * @param budget the retry budget that all routers share
 * @param grace how long the process may take to end after shutdown started
 * @param leaderPause the minimum time between the orders of two leaders
 * @param supersededWeightsLimit the time after which no request may begin on superseded weights
 * @param parallelLoads how many replicas can load weights at the same time without slowing each other down
 */
public record RouterSettings(
        RouterEntry self,
        InetSocketAddress callerAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress hintAddress,
        InetSocketAddress metricsAddress,
        List<String> seeds,
        boolean firstStart,
        RetryBudgetLimits budget,
        Duration grace,
        Duration leaderPause,
        Duration supersededWeightsLimit,
        int parallelLoads) {
    /** Copies the seeds, so that the settings are immutable. */
    public RouterSettings {
        seeds = List.copyOf(seeds);
    }
}
