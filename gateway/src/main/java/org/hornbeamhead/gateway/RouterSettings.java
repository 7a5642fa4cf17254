package org.hornbeamhead.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.hornbeamhead.gateway.dispatch.Dispatcher.RetryBudgetLimits;
import org.hornbeamhead.gateway.state.RouterEntry;

/**
 * What a router is told at its start.
 *
 * @param self this router
 * @param callers where callers connect
 * @param peers where other routers connect
 * @param hints where other routers send hints
 * @param metrics where metrics are read
 * @param seeds addresses of other routers, possibly stale
 * @param firstStart whether the whole system starts for the first time
 * @param budget the budget of repeats that all routers share
 * @param grace how long the process may take to end after it was told to
 * @param holderPause how long two holders of a duty must be apart
 * @param weightsBound the time after which no request may begin on older weights
 * @param loadsAtOnce the changes of weights that run beside each other without slowing down
 */
public record RouterSettings(
        RouterEntry self,
        InetSocketAddress callers,
        InetSocketAddress peers,
        InetSocketAddress hints,
        InetSocketAddress metrics,
        List<String> seeds,
        boolean firstStart,
        RetryBudgetLimits budget,
        Duration grace,
        Duration holderPause,
        Duration weightsBound,
        int loadsAtOnce) {
    /** Copies the seeds, so that the settings cannot change. */
    public RouterSettings {
        seeds = List.copyOf(seeds);
    }
}
