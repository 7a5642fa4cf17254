package org.hornbeamhead.core.path;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when a path counts as lost, and what other routers hear of it. */
public class ServicePathTest {
    @DataProvider
    public Object[][] contacts() {
        return new Object[][] {
            {"one of one fails", 1, List.of("a"), true},
            {"one of two fails", 2, List.of("a"), false},
            {"the same one fails twice", 2, List.of("a", "a"), false},
            {"both fail", 2, List.of("a", "b"), true},
            {"two of six end under one request", 6, List.of("a", "b"), false},
            {"four of many fail", 56, List.of("a", "b", "c", "d"), true},
            {"one is heard in between", 2, List.of("a", "", "b"), false},
            {"one is heard after the loss", 2, List.of("a", "b", ""), false},
        };
    }

    /** Guards against taking ended replicas for a lost path, and against not noticing one. Empty means a contact. */
    @Test(dataProvider = "contacts")
    public void pathIsLostOnceReplicasFailWithoutContact(
            String description, int replicas, List<String> runs, boolean lost) {
        ServicePath path = new ServicePath();
        runs.forEach(run -> {
            if (run.isEmpty()) {
                path.recordContact(0);
            } else {
                path.recordFailure(run, replicas, 0);
            }
        });
        assertEquals(path.isLost(), lost, description);
    }

    /** Guards against callers that move back and forth because of a path that is lost for a moment. */
    @Test
    public void lossIsAnnouncedAfterAMomentAndForAWhileAfterItsEnd() {
        ServicePath path = new ServicePath();
        path.recordFailure("a", 1, 0);
        assertFalse(path.isAnnounced(100));
        assertTrue(path.isAnnounced(500));
        path.recordContact(2_000);
        assertFalse(path.isLost());
        assertTrue(path.isAnnounced(2_900));
        assertFalse(path.isAnnounced(3_100));
    }

    /** Guards against hints that arrive late or twice, and against believing a router for good that fell silent. */
    @Test
    public void latestHintHoldsForAWhile() {
        PeerPaths peers = new PeerPaths();
        PathHint lost = new PathHint(1, 5, Set.of(PathHint.serviceHash("s")));
        peers.merge("p", lost, 0);
        assertFalse(peers.hasPath("p", "s", 100));
        assertTrue(peers.hasPath("p", "other", 100));
        assertFalse(peers.hasAllPaths("p", 100));
        peers.merge("p", new PathHint(1, 4, Set.of()), 200);
        assertFalse(peers.hasPath("p", "s", 300));
        peers.merge("p", new PathHint(2, 1, Set.of()), 400);
        assertTrue(peers.hasAllPaths("p", 500));
        peers.merge("p", new PathHint(2, 2, Set.of(PathHint.serviceHash("s"))), 600);
        assertTrue(peers.hasPath("p", "s", 10_000));
    }
}
