package org.hornbeamhead.gateway.dispatch;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.ObjIntConsumer;
import org.hornbeamhead.core.entry.ActiveRouters;
import org.hornbeamhead.core.retry.RetryTokenMessage;
import org.hornbeamhead.core.retry.SharedRetryBudget;
import org.hornbeamhead.core.time.Clock;

/** The part of this router in the retry budgets of the services, which all routers share. */
final class RetryBudgets {
    /** A router asks for tokens before it needs them, and one other at a time. */
    private static final long ASK_INTERVAL_MILLIS = 100;
    /** With as many tokens as this a router asks for none. */
    private static final double SUFFICIENT_TOKENS = 2;

    private final Clock clock;
    private final Dispatcher.RetryBudgetLimits limits;
    private final ActiveRouters routers;
    private final boolean priorTraffic;
    private final Map<String, Account> accounts = new HashMap<>();
    private final long startedAt;
    private ObjIntConsumer<String> onShortage = (service, question) -> {};

    /** The budget of a service, and the last question for more. */
    private static final class Account {
        private final SharedRetryBudget budget;
        private int question;
        private long askedAt = Long.MIN_VALUE / 2;

        Account(SharedRetryBudget budget) {
            this.budget = budget;
        }
    }

    /**
     * Creates the budgets.
     *
     * @param clock the clock
     * @param limits the limits, equal for all services
     * @param routers the routers that share them
     * @param priorTraffic whether the system may have sent retries before this router started
     */
    RetryBudgets(Clock clock, Dispatcher.RetryBudgetLimits limits, ActiveRouters routers, boolean priorTraffic) {
        this.clock = clock;
        this.limits = limits;
        this.routers = routers;
        this.priorTraffic = priorTraffic;
        this.startedAt = clock.monotonicMillis();
    }

    /**
     * Sets what asks another router for tokens.
     *
     * @param listener receives a service that is short of tokens and the number of the question
     */
    void onShortage(ObjIntConsumer<String> listener) {
        onShortage = listener;
    }

    private Account account(String service) {
        return accounts.computeIfAbsent(service, name -> new Account(create()));
    }

    private SharedRetryBudget budget(String service) {
        return account(service).budget;
    }

    private SharedRetryBudget create() {
        SharedRetryBudget.Limits shared = new SharedRetryBudget.Limits(
                limits.ratio(), limits.slack(), limits.window().toMillis());
        return priorTraffic ? SharedRetryBudget.empty(shared, startedAt) : SharedRetryBudget.full(shared, startedAt);
    }

    private double share() {
        return routers.equalShare();
    }

    void recordRequest(String service) {
        long now = clock.monotonicMillis();
        Account account = account(service);
        account.budget.recordRequest(now, share());
        boolean isShort =
                account.budget.isLow(now, share()) && account.budget.available(now, share()) < SUFFICIENT_TOKENS;
        if (isShort && now - account.askedAt >= ASK_INTERVAL_MILLIS) {
            account.askedAt = now;
            account.question++;
            onShortage.accept(service, account.question);
        }
    }

    /** Takes out tokens for another router, 0 or more. */
    double give(String service) {
        long now = clock.monotonicMillis();
        return accounts.containsKey(service) ? budget(service).give(now, share(), RetryTokenMessage.MAX_TOKENS) : 0;
    }

    /**
     * Adds tokens from another router once, unless they are late: its bucket may hold others in their place by then.
     */
    void receive(String service, int question, double tokens) {
        long now = clock.monotonicMillis();
        Account account = accounts.get(service);
        if (account != null && question == account.question && now - account.askedAt <= ASK_INTERVAL_MILLIS) {
            account.question++;
            account.budget.receive(now, share(), tokens);
        }
    }

    /** Takes back that a request was recorded, since the router that it is handed to records it. */
    void withdrawRequest(String service) {
        budget(service).withdrawRequest(clock.monotonicMillis());
    }

    /** Takes one retry if there is one. */
    boolean take(String service) {
        long now = clock.monotonicMillis();
        return budget(service).tryAcquire(now, share());
    }

    /** Describes what is left of a budget and how old this process is, for the log. */
    String describe(String service) {
        long now = clock.monotonicMillis();
        double share = share();
        return String.format(
                Locale.ROOT,
                "budget=%.1f share=%.3f upMillis=%d",
                budget(service).available(now, share),
                share,
                now - startedAt);
    }

    boolean isAvailable(String service) {
        long now = clock.monotonicMillis();
        return budget(service).canAcquire(now, share());
    }
}
