package org.hornbeamhead.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.caller.CallerServer;
import org.hornbeamhead.gateway.duty.Duties;
import org.hornbeamhead.gateway.state.RouterRegistration;

/**
 * The graceful end of a router: leave the list, go on serving those who still have the address, finish, end.
 *
 * <p>Failure: callers keep an answer for three times its time to live, and go on using open connections. Symptom: a
 * router that closes its listener at once cuts requests that were sent in good faith. It listens until the longest-kept
 * answer has run out, and each answer closes its connection.
 */
final class Shutdown {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Three times the second for which address answers may be kept, and the way there. */
    private static final long LISTEN_MILLIS = 3_500;
    /**
     * After this time new requests are given back. The last address answers have run out by then, and what begins later
     * may not be done when the grace is over.
     */
    private static final long TAKE_MILLIS = 2_700;
    /** Left of the grace when the process ends whatever still runs. */
    private static final long LAST_MILLIS = 400;

    /**
     * Left for handing over a duty before the process may end: a slow store takes some hundred milliseconds for a call,
     * and a renewal may be under way before the write. A duty that is not handed over in time vanishes with its lease.
     */
    private static final long HAND_OVER_MILLIS = 1_300;

    private static final long CHECK_MILLIS = 50;

    private final Daemon daemon;
    private final CallerServer front;
    private final RouterRegistration presence;
    private final Duties duties;
    private final long graceMillis;
    private long begunAt = -1;

    Shutdown(Daemon daemon, CallerServer front, RouterRegistration presence, Duties duties, Duration grace) {
        this.daemon = daemon;
        this.front = front;
        this.presence = presence;
        this.duties = duties;
        this.graceMillis = grace.toMillis();
    }

    boolean begun() {
        return begunAt >= 0;
    }

    /**
     * Tells whether new requests are given back.
     *
     * <p>Failure: a caller that kept an old answer sends a long request just before the process ends. Symptom: its
     * stream is cut in the middle. A request that is given back at once has not run, and its caller goes to another
     * router.
     */
    boolean givesBack() {
        return begun() && daemon.clock().monotonicMillis() - begunAt > TAKE_MILLIS;
    }

    void begin() {
        if (begun()) {
            return;
        }
        begunAt = daemon.clock().monotonicMillis();
        logger.atInfo().with(Logs.DECISION, "stopping").log("the router leaves the list and finishes its requests");
        front.drain();
        presence.deregister();
        duties.stop(Math.max(0, Math.min(LISTEN_MILLIS, graceMillis - LAST_MILLIS) - HAND_OVER_MILLIS));
        check();
    }

    private void check() {
        long since = daemon.clock().monotonicMillis() - begunAt;
        boolean done = since > LISTEN_MILLIS && front.inFlight() == 0;
        if (done || since > graceMillis - LAST_MILLIS) {
            front.stopListening();
            front.closeIdle();
            logger.atInfo()
                    .with(Logs.DECISION, "stopped")
                    .with(Logs.INPUTS, "inFlight=" + front.inFlight() + " afterMillis=" + since)
                    .log("the router ends");
            daemon.reactor().delayBackground(CHECK_MILLIS, daemon::end);
            return;
        }
        daemon.reactor().delayBackground(CHECK_MILLIS, this::check);
    }
}
