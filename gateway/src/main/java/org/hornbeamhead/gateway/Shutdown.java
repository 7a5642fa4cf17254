package org.hornbeamhead.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.function.LongConsumer;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.caller.CallerServer;
import org.hornbeamhead.gateway.duty.LeaderTasks;
import org.hornbeamhead.gateway.state.RouterRegistration;

/**
 * The graceful shutdown of a router: it is removed from the list of routers, still serves callers that have its
 * address, finishes the requests in progress, and ends the process.
 *
 * <p>Callers keep an address response for three times its time to live and continue to use open connections. A router
 * that closed its listener at once would cut requests that were sent to a valid address. It listens until the address
 * responses that are kept longest have expired, and each response closes its connection.
 *
 * <p>A stream that began before the shutdown could not announce the close. Its connection stays open for some time
 * after its end, for one more request.
 */
final class Shutdown {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Three times the second for which address responses may be kept, plus the time of their delivery. */
    private static final long MIN_LISTEN_MILLIS = 3_500;
    /**
     * New requests are rejected after this time, by which the last address responses have expired. Before it, those are
     * rejected that must not be cut and whose time limit is later than the end of the process.
     */
    private static final long ACCEPT_MILLIS = 2_700;
    /** How long before the end of the grace period the process ends, whether or not requests are still in progress. */
    private static final long EXIT_MARGIN_MILLIS = 400;

    /**
     * The time reserved for handing over the leader lease before the process may end. A slow store takes some hundred
     * milliseconds for a call, and a renewal may be pending before the write. A lease that is not handed over in time
     * expires, and its record vanishes with it.
     */
    private static final long HANDOVER_MARGIN_MILLIS = 1_300;

    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final Daemon daemon;
    private final CallerServer callerServer;
    private final RouterRegistration registration;
    private final LeaderTasks leaderTasks;
    private final LongConsumer stopAccepting;
    private final long graceMillis;
    private long startedAt = -1;

    Shutdown(
            Daemon daemon,
            CallerServer callerServer,
            RouterRegistration registration,
            LeaderTasks leaderTasks,
            LongConsumer stopAccepting,
            Duration grace) {
        this.daemon = daemon;
        this.callerServer = callerServer;
        this.registration = registration;
        this.leaderTasks = leaderTasks;
        this.stopAccepting = stopAccepting;
        this.graceMillis = grace.toMillis();
    }

    boolean isStarted() {
        return startedAt >= 0;
    }

    /**
     * Returns whether new requests are rejected.
     *
     * <p>A caller that kept an outdated address may send a long request just before the process ends, and its stream
     * would be cut in the middle. A request that is rejected at once has not run, so its caller can go to another
     * router.
     */
    boolean rejectsNewRequests() {
        return isStarted() && daemon.clock().monotonicMillis() - startedAt > ACCEPT_MILLIS;
    }

    void start() {
        if (isStarted()) {
            return;
        }
        startedAt = daemon.clock().monotonicMillis();
        logger.atInfo().with(Logs.DECISION, "stopping").log("shutdown started, requests in progress are finished");
        callerServer.drain();
        stopAccepting.accept(startedAt + graceMillis - EXIT_MARGIN_MILLIS);
        registration.deregister();
        leaderTasks.stop(
                Math.max(0, Math.min(MIN_LISTEN_MILLIS, graceMillis - EXIT_MARGIN_MILLIS) - HANDOVER_MARGIN_MILLIS));
        checkFinished();
    }

    private void checkFinished() {
        long elapsedMillis = daemon.clock().monotonicMillis() - startedAt;
        boolean done = elapsedMillis > MIN_LISTEN_MILLIS && !callerServer.isInUse();
        if (done || elapsedMillis > graceMillis - EXIT_MARGIN_MILLIS) {
            logger.atInfo()
                    .with(Logs.DECISION, "stopped")
                    .with(
                            Logs.INPUTS,
                            "inFlight=" + callerServer.inFlight() + " connections=" + callerServer.connectionCount()
                                    + " afterMillis=" + elapsedMillis)
                    .log("shutdown finished");
            callerServer.stopListening();
            callerServer.endRequests();
            callerServer.closeIdle();
            daemon.reactor().delayBackground(CHECK_INTERVAL_MILLIS, daemon::end);
            return;
        }
        daemon.reactor().delayBackground(CHECK_INTERVAL_MILLIS, this::checkFinished);
    }
}
