package org.hornbeamhead.router;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.hornbeamhead.core.outcome.Reason;

/**
 * The tries of one call to a plain service so far.
 *
 * @param once whether the call must run at most once
 * @param addresses the replicas that were tried
 * @param mayHaveRun whether any of them may have got the call
 */
record ServiceTries(boolean once, Set<String> addresses, boolean mayHaveRun) {
    /** Copies the addresses, so that the tries cannot change. */
    ServiceTries {
        addresses = Set.copyOf(addresses);
    }

    ServiceTries(boolean once) {
        this(once, Set.of(), false);
    }

    int count() {
        return addresses.size();
    }

    /** Nothing was sent to a replica, since no connection to it could be opened. */
    ServiceTries unsent(String address) {
        return new ServiceTries(once, with(address), mayHaveRun);
    }

    /** A replica may have got the call, and gave no answer. */
    ServiceTries lost(String address) {
        return new ServiceTries(once, with(address), true);
    }

    private Set<String> with(String address) {
        Set<String> all = new HashSet<>(addresses);
        all.add(address);
        return all;
    }

    /** The call ends here: a caller is told that it has not run only if no replica can have got it. */
    Refusal refusal(Reason reason, Duration comeBack) {
        return mayHaveRun ? Refusals.unknown(Reason.ENDPOINT_LOST) : Refusals.notRun(reason, comeBack);
    }
}
