package org.hornbeamhead.gateway.quarantine;

import static org.testng.Assert.assertEquals;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hornbeamhead.core.crash.LostRun;
import org.hornbeamhead.core.crash.RequestFingerprint;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which lost requests count as under way at a replica that ended. */
public class CrashWitnessTest {
    private static final LostRun RUN = new LostRun(new RequestFingerprint(1), 0, 60);
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
    private CrashWitness witness;
    private List<LostRun> reported;

    /** Starts a replica that listens. */
    @BeforeMethod
    public void begin() throws IOException {
        reactor = Eventloop.builder().withCurrentThread().build();
        registry = new ReplicaRegistry(reactor, clock);
        server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        reported = new ArrayList<>();
        witness = new CrashWitness(clock, this::checkLater, (run, replica) -> reported.add(run));
        registry.onRemoved(witness::gone);
        list(false);
    }

    /** Ends the replica. */
    @AfterMethod
    public void end() throws IOException {
        server.close();
    }

    private void list(boolean draining) {
        String address = "127.0.0.1:" + server.getLocalPort();
        registry.put(new ReplicaEntry(REPLICA, 1, "s", address, "z", draining, 8, Map.of()), 1);
    }

    private LiveReplica replica() {
        return registry.all().iterator().next();
    }

    private void checkLater(long delayMillis, Runnable check) {
        reactor.delay(delayMillis, () -> check.run());
    }

    @DataProvider
    public Object[][] losses() {
        return new Object[][] {
            {"broken, and the process has ended", Lost.BROKEN, true, false, false, 1},
            {"broken, and the process goes on", Lost.BROKEN, false, false, false, 0},
            {"broken, and the entry goes", Lost.BROKEN, false, false, true, 1},
            {"broken at a replica that leaves", Lost.BROKEN, true, true, true, 0},
            {"silent, and the process has ended", Lost.SILENT, true, false, false, 1},
            {"silent, and the process goes on", Lost.SILENT, false, false, false, 0},
            {"silent, and the entry goes", Lost.SILENT, false, false, true, 0},
        };
    }

    /** Guards against counting what is not an end of the process, or not the request's doing. */
    @Test(dataProvider = "losses")
    public void countsEndsOfTheProcess(
            String what, Lost loss, boolean ended, boolean draining, boolean entryGoes, int count) throws IOException {
        list(draining);
        LiveReplica replica = replica();
        if (ended) {
            server.close();
        }
        reactor.execute(() -> {
            lose(loss, replica);
            lose(loss, replica);
        });
        runChecks();
        if (entryGoes) {
            registry.remove(REPLICA, 2);
        }
        assertEquals(reported.size(), count, what);
    }

    private void lose(Lost loss, LiveReplica replica) {
        if (loss == Lost.BROKEN) {
            witness.broken(RUN, replica);
        } else {
            witness.silent(RUN, replica);
        }
    }

    /** Guards against missing requests that notice the end a little later than the first. */
    @Test
    public void laterLossesAtTheSameEndCountToo() throws IOException {
        LiveReplica replica = replica();
        server.close();
        reactor.execute(() -> witness.broken(RUN, replica));
        runChecks();
        witness.broken(new LostRun(new RequestFingerprint(2), 0, 60), replica);
        assertEquals(reported.size(), 2);
    }

    /** Runs until two rounds of checks are over. */
    private void runChecks() {
        reactor.delay(CHECK_ROUNDS * CrashWitness.SECOND_CHECK_MILLIS, reactor::breakEventloop);
        reactor.run();
    }
}
