package org.hornbeamhead.router;

import java.time.Duration;
import java.util.Optional;
import org.hornbeamhead.core.config.ConfigHolder;
import org.hornbeamhead.core.drain.DrainSequence;
import org.hornbeamhead.core.outcome.Reason;

/** Counts the requests in work, and refuses new ones while the router may not take any. */
final class RunningRequests {
    private static final Duration COME_BACK = Duration.ofMillis(200);

    private final int limit;
    private final DrainSequence drain;
    private final ConfigHolder config;
    private int running;

    RunningRequests(int limit, DrainSequence drain, ConfigHolder config) {
        this.limit = limit;
        this.drain = drain;
        this.config = config;
    }

    /** Tells why a new request is refused; empty when it is taken. */
    Optional<Refusal> refusal() {
        if (!drain.acceptsWork()) {
            return Optional.of(Refusals.notRun(Reason.DRAINING, COME_BACK));
        }
        if (config.state().version() == 0) {
            return Optional.of(Refusals.notRun(Reason.NOT_READY, COME_BACK));
        }
        return running >= limit ? Optional.of(Refusals.notRun(Reason.ROUTER_FULL, COME_BACK)) : Optional.empty();
    }

    void started() {
        running++;
    }

    void ended() {
        running--;
    }

    int count() {
        return running;
    }
}
