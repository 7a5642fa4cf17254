package org.hornbeamhead.gateway.quarantine;

import static org.testng.Assert.assertEquals;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hornbeamhead.core.crash.CrashFeature;
import org.hornbeamhead.core.crash.LostAttempt;
import org.hornbeamhead.core.crash.RequestFingerprint;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which lost requests are reported as running at a crashed replica. */
public class CrashDetectorTest {
    private static final LostAttempt RUN =
            new LostAttempt(new RequestFingerprint(new CrashFeature(CrashFeature.Kind.CONTENT, 1), List.of()), 0, 60);
    private static final String REPLICA = "r";
    private static final int CHECK_ROUNDS = 6;

    private enum Lost {
        BROKEN,
        SILENT
    }

    private final ManualClock clock = new ManualClock(0);
    private Eventloop reactor;
    private ReplicaRegistry registry;
    private ServerSocket server;
    private CrashDetector detector;
    private List<LostAttempt> reported;

    /** Starts a replica that listens on a local port. */
    @BeforeMethod
    public void startReplica() throws IOException {
        reactor = Eventloop.builder().withCurrentThread().build();
        registry = new ReplicaRegistry(reactor, clock);
        server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        reported = new ArrayList<>();
        detector = new CrashDetector(clock, this::schedule, r -> Promise.of(true), (run, replica) -> reported.add(run));
        registry.onRemoved(detector::entryRemoved);
        registry.onSuperseded(detector::addressReused);
        register(false);
    }

    /** Stops the replica. */
    @AfterMethod
    public void stopReplica() throws IOException {
        server.close();
    }

    private void register(boolean draining) {
        String address = "127.0.0.1:" + server.getLocalPort();
        registry.put(new ReplicaEntry(REPLICA, 1, "s", address, "z", "v1", draining, 8, Map.of()), 1);
    }

    private LiveReplica replica() {
        return registry.all().iterator().next();
    }

    private void schedule(long delayMillis, Runnable check) {
        reactor.delay(delayMillis, () -> check.run());
    }

    @DataProvider
    public Object[][] losses() {
        return new Object[][] {
            {"connection broken, process ended", Lost.BROKEN, true, false, false, 1},
            {"connection broken, process still running", Lost.BROKEN, false, false, false, 0},
            {"connection broken, registry entry removed", Lost.BROKEN, false, false, true, 1},
            {"connection broken, replica draining", Lost.BROKEN, true, true, true, 0},
            {"silent, process ended", Lost.SILENT, true, false, false, 1},
            {"silent, process still running", Lost.SILENT, false, false, false, 0},
            {"silent, registry entry removed", Lost.SILENT, false, false, true, 0},
        };
    }

    /**
     * A lost request is reported only if the process of its replica crashed. A broken connection or a silent replica
     * alone proves no crash, and a draining replica may end at any time.
     */
    @Test(dataProvider = "losses")
    public void reportsOnlyLossesAtCrashedReplicas(
            String description, Lost loss, boolean processEnded, boolean draining, boolean entryRemoved, int expected)
            throws IOException {
        register(draining);
        LiveReplica replica = replica();
        if (processEnded) {
            server.close();
        }
        reactor.execute(() -> {
            lose(loss, replica);
            lose(loss, replica);
        });
        runChecks();
        if (entryRemoved) {
            registry.remove(REPLICA, 2);
        }
        assertEquals(reported.size(), expected, description);
    }

    private void lose(Lost loss, LiveReplica replica) {
        if (loss == Lost.BROKEN) {
            detector.connectionBroken(RUN, replica);
        } else {
            detector.replicaSilent(RUN, replica);
        }
    }

    /** Requests that are lost shortly after a crash was detected are reported as well. */
    @Test
    public void reportsLossesAfterTheCrashWasDetected() throws IOException {
        LiveReplica replica = replica();
        server.close();
        reactor.execute(() -> detector.connectionBroken(RUN, replica));
        runChecks();
        detector.connectionBroken(
                new LostAttempt(
                        new RequestFingerprint(new CrashFeature(CrashFeature.Kind.CONTENT, 2), List.of()), 0, 60),
                replica);
        assertEquals(reported.size(), 2);
    }

    /** Runs the event loop until two rounds of checks are complete. */
    private void runChecks() {
        reactor.delay(CHECK_ROUNDS * CrashDetector.SECOND_CHECK_DELAY_MILLIS, reactor::breakEventloop);
        reactor.run();
    }

    /** Guards against not seeing the crash of a replica whose successor listens before any check is made. */
    @Test
    public void successorAtTheSameAddressShowsTheCrash() {
        LiveReplica replica = replica();
        reactor.execute(() -> lose(Lost.BROKEN, replica));
        runChecks();
        assertEquals(reported, List.of());
        registry.put(
                new ReplicaEntry("successor", 2, "s", replica.entry().address(), "z", "v1", false, 8, Map.of()), 2);
        assertEquals(reported, List.of(RUN));
    }

    /** Guards against taking the announced end of a replica for a crash under the requests that it ran. */
    @Test
    public void endOfReplicaThatAnnouncedItsLeaveIsNoCrash() throws IOException {
        LiveReplica replica = replica();
        replica.notices().recordLeaving();
        server.close();
        reactor.execute(() -> {
            lose(Lost.BROKEN, replica);
            lose(Lost.SILENT, replica);
        });
        runChecks();
        registry.remove(REPLICA, 2);
        assertEquals(reported, List.of());
    }
}
