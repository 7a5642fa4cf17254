package org.hornbeamhead.gateway.dispatch;

import org.hornbeamhead.core.forward.RefusalReason;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.daemon.Metrics;

/**
 * A request that the router itself answers as not run. Route and customer are names of the configuration, never what a
 * caller sent, which bounds the number of time series.
 *
 * @param reason why it was not run
 * @param route the route's name; empty if it was refused before its route was known
 * @param customer the customer's name; empty if there is none
 */
record Refusal(RefusalReason reason, String route, String customer) {
    static Refusal of(RoutedRequest request, RefusalReason reason) {
        return new Refusal(
                reason,
                request.route().name(),
                request.owner().map(KeyOwner::customer).orElse(""));
    }

    static Refusal beforeRouting(RefusalReason reason) {
        return new Refusal(reason, "", "");
    }

    void count(Metrics metrics) {
        metrics.count("hornbeam_refused", "route", route, "customer", customer, "reason", reason.name());
    }
}
