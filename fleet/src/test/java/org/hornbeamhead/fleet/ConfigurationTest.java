package org.hornbeamhead.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ConfigurationTest {
    private TestFleet fleet;
    private List<ProcessHandleBox> routers;

    @BeforeMethod
    public void setUp() throws Exception {
        fleet = new TestFleet();
        fleet.startPlatform("0 ms");
        routers = fleet.routers(5, 0);
    }

    @AfterMethod
    public void tearDown() throws Exception {
        fleet.close();
    }

    private long version(ProcessHandleBox router) throws Exception {
        return fleet.status(router).path("config_version").asLong();
    }

    private void awaitEverywhere(long version) {
        for (ProcessHandleBox router : routers) {
            TestFleet.await(() -> version(router) == version);
        }
    }

    // Two operators start from version 1. One wins; the other's command ends with its own exit code, and nothing of its
    // change is in force.
    @Test
    public void ofTwoRacingOperatorsOneWins() throws Exception {
        String text = TestFleet.configuration("w1", "700 ms");
        assertEquals(fleet.apply(text, "one", "--base", "1"), 0);
        assertEquals(fleet.apply(text, "two", "--base", "1"), 3);
        assertEquals(fleet.apply("[fleet]\nnam = x\n", "wrong", "--base", "2"), 2);
        awaitEverywhere(2);
    }

    // Versions are watched on all routers while changes are made, a router is frozen over several of them, and the
    // platform loses answers and shows stale reads. On no router does a version ever fall, and in the end all have the
    // newest.
    @Test
    public void acceptedVersionsSpreadAndNeverRevert() throws Exception {
        AtomicBoolean stop = new AtomicBoolean();
        List<String> falls = new ArrayList<>();
        CompletableFuture<Void> watcher = CompletableFuture.runAsync(() -> {
            long[] seen = new long[routers.size()];
            while (!stop.get()) {
                for (int i = 1; i < seen.length; i++) {
                    long now = observe(i, seen[i]);
                    if (now < seen[i]) {
                        falls.add(i + ": " + seen[i] + " to " + now);
                    }
                    seen[i] = now;
                }
            }
        });
        fleet.fault(
                fleet.store(),
                "{\"outage\":false,\"slowMillis\":0,\"loseShare\":0.2,\"failShare\":0.1,\"staleReads\":false}");
        long accepted = 1;
        for (int i = 0; i < 6; i++) {
            if (i == 2) {
                routers.get(0).freeze();
            }
            int code = fleet.apply(
                    TestFleet.configuration("w1", (500 + i) + " ms"), "change " + i, "--base", "" + accepted);
            assertTrue(code == 0 || code == 1, "exit code " + code);
            accepted += code == 0 ? 1 : 0;
        }
        fleet.fault(
                fleet.store(),
                "{\"outage\":false,\"slowMillis\":0,\"loseShare\":0,\"failShare\":0,\"staleReads\":true}");
        routers.get(0).thaw();
        awaitEverywhere(accepted);
        stop.set(true);
        watcher.join();
        assertEquals(falls, List.of());
        assertTrue(accepted > 3, accepted + " versions");
    }

    private long observe(int router, long otherwise) {
        try {
            return version(routers.get(router));
        } catch (Exception e) {
            return otherwise;
        }
    }
}
