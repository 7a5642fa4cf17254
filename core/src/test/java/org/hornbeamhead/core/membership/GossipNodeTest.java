package org.hornbeamhead.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class GossipNodeTest {
    private static final long DELAY_MILLIS = 2;

    private final Map<String, GossipNode> nodes = new HashMap<>();
    private final Map<String, Long> versions = new HashMap<>();
    private final Set<String> stopped = new HashSet<>();
    private ManualClock clock;
    private ManualTimers timers;
    private SplittableRandom random;
    private BiPredicate<String, String> partitioned;
    private double lossRate;

    @BeforeMethod
    public void setUp() {
        nodes.clear();
        versions.clear();
        stopped.clear();
        clock = new ManualClock(1_000);
        timers = new ManualTimers(clock);
        random = new SplittableRandom(11);
        partitioned = (a, b) -> false;
        lossRate = 0;
    }

    private void startNodes(int size) {
        List<Member> listed = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            listed.add(new Member("p" + i, "h" + i, 0, MemberStatus.ALIVE));
        }
        listed.forEach(m -> startNode(m.peerAddress(), m.address(), 1));
        nodes.values().forEach(n -> n.updateHostList(listed));
    }

    private void startNode(String peer, String address, long incarnation) {
        startNode(peer, address, incarnation, MemberStatus.ALIVE);
    }

    private void startNode(String peer, String address, long incarnation, MemberStatus status) {
        GossipNode node = new GossipNode(
                new Member(peer, address, incarnation, status),
                clock,
                timers,
                random.split(),
                GossipLimits.STANDARD,
                (to, message) -> deliver(peer, to, message),
                new GossipListener() {
                    @Override
                    public void membersChanged() {
                        // Not needed: the tests read the members directly.
                    }

                    @Override
                    public void newerConfig(String from, long version) {
                        timers.schedule(DELAY_MILLIS, () -> adopt(peer, version));
                    }
                });
        nodes.put(peer, node);
        node.start();
    }

    private void adopt(String peer, long version) {
        if (versions.merge(peer, version, Math::max) == version) {
            nodes.get(peer).updateConfigVersion(version);
        }
    }

    private void deliver(String from, String to, GossipMessage message) {
        boolean lost = partitioned.test(from, to) || random.nextDouble() < lossRate;
        timers.schedule(DELAY_MILLIS, () -> {
            if (!lost && !stopped.contains(from) && !stopped.contains(to)) {
                nodes.get(to).receive(message);
            }
        });
    }

    private boolean allRecord(String peer, MemberStatus status) {
        return nodes.entrySet().stream()
                .filter(e -> !stopped.contains(e.getKey()) && !e.getKey().equals(peer))
                .allMatch(e -> e.getValue().members().stream()
                        .anyMatch(m -> m.peerAddress().equals(peer) && m.status() == status));
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{3}, {8}, {40}};
    }

    // A router is killed. Within seconds all others must mark it dead and stop announcing it to callers.
    @Test(dataProvider = "sizes")
    public void allNodesDetectKilledRouter(int size) {
        startNodes(size);
        timers.advance(3_000);
        stopped.add("p1");
        timers.advance(15_000);
        assertTrue(allRecord("p1", MemberStatus.DEAD));
    }

    // A tenth of all datagrams is lost. No live node stays dead, since suspects refute in time.
    @Test
    public void datagramLossLeavesLiveNodesAlive() {
        startNodes(20);
        lossRate = 0.1;
        timers.advance(120_000);
        lossRate = 0;
        timers.advance(20_000);
        for (String peer : nodes.keySet()) {
            assertTrue(allRecord(peer, MemberStatus.ALIVE), peer);
        }
    }

    // Two regions are partitioned for an hour and mark each other dead. They must rejoin by themselves afterwards.
    @Test
    public void partitionedRegionsRejoin() {
        startNodes(16);
        timers.advance(3_000);
        partitioned = (a, b) -> Integer.parseInt(a.substring(1)) < 8 != Integer.parseInt(b.substring(1)) < 8;
        timers.advance(3_600_000);
        partitioned = (a, b) -> false;
        timers.advance(60_000);
        for (String peer : nodes.keySet()) {
            assertTrue(allRecord(peer, MemberStatus.ALIVE), peer);
        }
    }

    // A router leaves gracefully. The others must stop announcing it at once, without suspecting it first.
    @Test
    public void leavingRouterIsNotServing() {
        startNodes(8);
        timers.advance(3_000);
        nodes.get("p2").leave();
        timers.advance(2_000);
        assertTrue(allRecord("p2", MemberStatus.LEAVING));
        assertEquals(nodes.get("p0").serving().size(), 7);
    }

    // A host is listed before its process can serve. It is probed, and announced only after it reports that it serves.
    @Test
    public void startingRouterIsNotServingUntilItAnnouncesIt() {
        startNodes(4);
        timers.advance(3_000);
        startNode("p9", "h9", 1, MemberStatus.STARTING);
        List<Member> listed = new ArrayList<>(nodes.get("p0").members());
        listed.add(new Member("p9", "h9", 0, MemberStatus.STARTING));
        nodes.values().forEach(n -> n.updateHostList(listed));
        timers.advance(10_000);
        assertTrue(allRecord("p9", MemberStatus.STARTING));
        assertEquals(nodes.get("p0").serving().size(), 4);
        nodes.get("p9").startServing();
        timers.advance(2_000);
        assertEquals(nodes.get("p0").serving().size(), 5);
    }

    // A dead router is replaced by a new process at the same address, whose incarnation is its later start time.
    @Test
    public void replacedRouterBecomesAlive() {
        startNodes(8);
        timers.advance(3_000);
        stopped.add("p3");
        timers.advance(15_000);
        stopped.remove("p3");
        startNode("p3", "h3", clock.wallMillis());
        nodes.get("p3").updateHostList(nodes.get("p0").members());
        timers.advance(15_000);
        assertTrue(allRecord("p3", MemberStatus.ALIVE));
    }

    // One router accepts a new configuration. All others must learn its version within five seconds.
    @Test(dataProvider = "sizes")
    public void configVersionReachesAllNodes(int size) {
        startNodes(size);
        timers.advance(3_000);
        adopt("p0", 7);
        timers.advance(5_000);
        assertTrue(nodes.keySet().stream().allMatch(p -> versions.getOrDefault(p, 0L) == 7), versions.toString());
    }
}
