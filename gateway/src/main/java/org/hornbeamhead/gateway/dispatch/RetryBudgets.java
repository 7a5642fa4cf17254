package org.hornbeamhead.gateway.dispatch;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.hornbeamhead.core.entry.ActiveRouters;
import org.hornbeamhead.core.retry.SharedRetryBudget;
import org.hornbeamhead.core.time.Clock;

/** The part of this router in the retry budgets of the services, which all routers share. */
final class RetryBudgets {
    private final Clock clock;
    private final Dispatcher.RetryBudgetLimits limits;
    private final ActiveRouters routers;
    private final Map<String, SharedRetryBudget> budgets = new HashMap<>();
    private final long startedAt;

    RetryBudgets(Clock clock, Dispatcher.RetryBudgetLimits limits, ActiveRouters routers) {
        this.clock = clock;
        this.limits = limits;
        this.routers = routers;
        this.startedAt = clock.monotonicMillis();
    }

    private SharedRetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                name -> new SharedRetryBudget(
                        limits.ratio(), limits.slack(), limits.window().toMillis()));
    }

    void recordRequest(String service) {
        budget(service).recordRequest(clock.monotonicMillis());
    }

    /** Takes one retry if there is one. */
    boolean take(String service) {
        return budget(service).tryAcquire(clock.monotonicMillis(), routers.limitShare());
    }

    /** Describes what is left of a budget and how old this process is, for the log. */
    String describe(String service) {
        long now = clock.monotonicMillis();
        double share = routers.limitShare();
        return String.format(
                Locale.ROOT,
                "budget=%.1f share=%.3f upMillis=%d",
                budget(service).available(now, share),
                share,
                now - startedAt);
    }

    boolean isAvailable(String service) {
        return budget(service).canAcquire(clock.monotonicMillis(), routers.limitShare());
    }
}
