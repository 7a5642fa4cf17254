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
    private final Set<String> dead = new HashSet<>();
    private ManualClock clock;
    private ManualTimers timers;
    private SplittableRandom random;
    private BiPredicate<String, String> cut;
    private double lossShare;

    @BeforeMethod
    public void setUp() {
        nodes.clear();
        versions.clear();
        dead.clear();
        clock = new ManualClock(1_000);
        timers = new ManualTimers(clock);
        random = new SplittableRandom(11);
        cut = (a, b) -> false;
        lossShare = 0;
    }

    private void fleet(int size) {
        List<Member> listed = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            listed.add(new Member("p" + i, "h" + i, 0, MemberStatus.ALIVE));
        }
        listed.forEach(m -> open(m.peerAddress(), m.address(), 1));
        nodes.values().forEach(n -> n.listed(listed));
    }

    private void open(String peer, String address, long incarnation) {
        open(peer, address, incarnation, MemberStatus.ALIVE);
    }

    private void open(String peer, String address, long incarnation, MemberStatus status) {
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
                        // Only the members themselves are looked at here.
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
            nodes.get(peer).config(version);
        }
    }

    private void deliver(String from, String to, GossipMessage message) {
        boolean lost = cut.test(from, to) || random.nextDouble() < lossShare;
        timers.schedule(DELAY_MILLIS, () -> {
            if (!lost && !dead.contains(from) && !dead.contains(to)) {
                nodes.get(to).receive(message);
            }
        });
    }

    private boolean allBelieve(String peer, MemberStatus status) {
        return nodes.entrySet().stream()
                .filter(e -> !dead.contains(e.getKey()) && !e.getKey().equals(peer))
                .allMatch(e -> e.getValue().members().stream()
                        .anyMatch(m -> m.peerAddress().equals(peer) && m.status() == status));
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{3}, {8}, {40}};
    }

    // A router is killed. Within some seconds all others take it for dead and name it to no caller.
    @Test(dataProvider = "sizes")
    public void aKilledRouterIsFoundByAll(int size) {
        fleet(size);
        timers.advance(3_000);
        dead.add("p1");
        timers.advance(15_000);
        assertTrue(allBelieve("p1", MemberStatus.DEAD));
    }

    // A tenth of all datagrams is lost. Nobody that lives is buried, since suspects refute in time.
    @Test
    public void lossAloneBuriesNobody() {
        fleet(20);
        lossShare = 0.1;
        timers.advance(120_000);
        lossShare = 0;
        timers.advance(20_000);
        for (String peer : nodes.keySet()) {
            assertTrue(allBelieve(peer, MemberStatus.ALIVE), peer);
        }
    }

    // Two regions lose each other for an hour and bury each other. When the way is open again, they meet by themselves.
    @Test
    public void regionsThatLostEachOtherMeetAgain() {
        fleet(16);
        timers.advance(3_000);
        cut = (a, b) -> Integer.parseInt(a.substring(1)) < 8 != Integer.parseInt(b.substring(1)) < 8;
        timers.advance(3_600_000);
        cut = (a, b) -> false;
        timers.advance(60_000);
        for (String peer : nodes.keySet()) {
            assertTrue(allBelieve(peer, MemberStatus.ALIVE), peer);
        }
    }

    // A router leaves gracefully: the others stop naming it at once, without a suspicion.
    @Test
    public void aLeavingRouterIsNoLongerNamed() {
        fleet(8);
        timers.advance(3_000);
        nodes.get("p2").leave();
        timers.advance(2_000);
        assertTrue(allBelieve("p2", MemberStatus.LEAVING));
        assertEquals(nodes.get("p0").serving().size(), 7);
    }

    // A host stands in the list before its process can serve. It is probed, and named only after it said that it
    // serves.
    @Test
    public void aStartingRouterIsNotNamedUntilItSaysThatItServes() {
        fleet(4);
        timers.advance(3_000);
        open("p9", "h9", 1, MemberStatus.STARTING);
        List<Member> listed = new ArrayList<>(nodes.get("p0").members());
        listed.add(new Member("p9", "h9", 0, MemberStatus.STARTING));
        nodes.values().forEach(n -> n.listed(listed));
        timers.advance(10_000);
        assertTrue(allBelieve("p9", MemberStatus.STARTING));
        assertEquals(nodes.get("p0").serving().size(), 4);
        nodes.get("p9").serve();
        timers.advance(2_000);
        assertEquals(nodes.get("p0").serving().size(), 5);
    }

    // A dead router is replaced by a new process at the same address, whose incarnation is its later start.
    @Test
    public void aReplacedRouterIsTakenBack() {
        fleet(8);
        timers.advance(3_000);
        dead.add("p3");
        timers.advance(15_000);
        dead.remove("p3");
        open("p3", "h3", clock.wallMillis());
        nodes.get("p3").listed(nodes.get("p0").members());
        timers.advance(15_000);
        assertTrue(allBelieve("p3", MemberStatus.ALIVE));
    }

    // One router accepts a new configuration. All hear of it well within five seconds.
    @Test(dataProvider = "sizes")
    public void aVersionReachesAllWithinSeconds(int size) {
        fleet(size);
        timers.advance(3_000);
        adopt("p0", 7);
        timers.advance(5_000);
        assertTrue(nodes.keySet().stream().allMatch(p -> versions.getOrDefault(p, 0L) == 7), versions.toString());
    }
}
