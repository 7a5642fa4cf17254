package org.hornbeamhead.gateway.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hornbeamhead.core.time.Timers;

/**
 * Requests that came before the router knew its first configuration.
 *
 * <p>Failure: all routers get their power back together, and callers reach them some tenths of a second before the
 * configuration does. Symptom: each caller is told to come back, spends its one repeat on it, and is late. A request
 * waits for the configuration for a part of the time in which an answer would still be on time, then it is given back.
 */
final class EarlyRequests {
    /** Shorter than the usual target of a first event, so that an answer can still be on time. */
    static final long HOLD_MILLIS = 400;
    /** Bounds the memory: at 64 KB a body this is 16 MB at most. */
    static final int MAX_HELD = 256;

    private final Timers timers;
    private final Set<Held> held = new LinkedHashSet<>();

    /** One waiting request; it is either served or given back. */
    private static final class Held {
        private final Runnable serve;

        Held(Runnable serve) {
            this.serve = serve;
        }
    }

    EarlyRequests(Timers timers) {
        this.timers = timers;
    }

    /**
     * Lets a request wait.
     *
     * @param serve called once the configuration is known
     * @param giveBack called when it is not known in time, or too many wait
     */
    void hold(Runnable serve, Runnable giveBack) {
        if (held.size() >= MAX_HELD) {
            giveBack.run();
            return;
        }
        Held one = new Held(serve);
        held.add(one);
        timers.schedule(HOLD_MILLIS, () -> {
            if (held.remove(one)) {
                giveBack.run();
            }
        });
    }

    /** The configuration is known: what waits is served once the changes that came with it are taken over as well. */
    void release() {
        timers.schedule(0, () -> {
            List<Held> all = new ArrayList<>(held);
            held.clear();
            all.forEach(h -> h.serve.run());
        });
    }
}
