package org.hornbeamhead.gateway.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.activej.eventloop.Eventloop;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import org.hornbeamhead.core.engine.LoadHint;
import org.hornbeamhead.core.load.LoadStatement;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what three routers learn from one another, over a network that may lose datagrams. */
public class LoadStatementsTest {
    private static final OptionalInt SLOW = OptionalInt.of(250);

    private final Map<String, Router> routers = new HashMap<>();
    private ManualClock clock;
    private ManualTimers timers;
    private boolean lossy;
    private int datagrams;

    private final class Router {
        private final Metrics metrics = new Metrics();
        private final ReplicaRegistry registry =
                new ReplicaRegistry(Eventloop.builder().withCurrentThread().build(), clock);
        private final LoadStatements statements;

        Router(String name) {
            registry.put(new ReplicaEntry("r", 1, "s", "10.0.0.1:80", "z", "v1", false, 8, Map.of()), 1);
            statements = new LoadStatements(new LoadStatements.Dependencies(
                    clock,
                    timers,
                    registry,
                    () -> routers.keySet().stream().filter(n -> !n.equals(name)).toList(),
                    LoadStatementsTest.this::send,
                    metrics));
        }

        LiveReplica replica() {
            return registry.all().iterator().next();
        }

        double pace() {
            return replica().statedLoad().pace(clock.monotonicMillis());
        }

        void observe(OptionalInt pace) {
            statements.observe(
                    replica(),
                    Either.right(Optional.of(new LoadStatement(1, 0, 8, pace))),
                    clock.monotonicMillis() - 10,
                    "q");
        }
    }

    private void send(String to, byte[] datagram) {
        // A router of an earlier version must ignore the datagram.
        assertEquals(LoadHint.decode(datagram), Optional.empty());
        datagrams++;
        if (!lossy) {
            timers.schedule(2, () -> routers.get(to).statements.receive(datagram));
        }
    }

    @BeforeMethod
    public void setUp() {
        clock = new ManualClock(10_000);
        timers = new ManualTimers(clock);
        lossy = false;
        datagrams = 0;
        routers.clear();
        List.of("a", "b", "c").forEach(n -> routers.put(n, new Router(n)));
    }

    /** Guards against datagrams at the rate of requests, and against statements that are forwarded again and again. */
    @Test
    public void statementsReachTheOthersAtABoundedRate() {
        IntStream.range(0, 120).forEach(i -> {
            routers.get("a").observe(SLOW);
            timers.advance(1);
        });
        timers.advance(2);
        assertEquals(datagrams, 2 * 3);
        assertEquals(routers.get("c").pace(), 1 + 1.5 * 0.998, 0.01);
        timers.advance(1_000);
        assertEquals(datagrams, 2 * 3);
        assertEquals(routers.get("c").pace(), 1.0);
    }

    /** Guards against a router that depends on datagrams: without any, it uses what replicas state to itself. */
    @Test
    public void routerWithoutDatagramsUsesItsOwnStatements() {
        lossy = true;
        routers.get("a").observe(SLOW);
        timers.advance(100);
        assertEquals(routers.get("b").pace(), 1.0);
        routers.get("b").observe(SLOW);
        assertEquals(routers.get("b").pace(), 2.5);
        lossy = false;
        routers.get("a").observe(OptionalInt.of(100));
        timers.advance(100);
        assertEquals(routers.get("b").pace(), 1.0);
    }

    /** Guards against traffic for services whose replicas state three figures. */
    @Test
    public void statementsWithoutPaceAreNotSent() {
        routers.get("a").observe(OptionalInt.empty());
        timers.advance(100);
        assertEquals(datagrams, 0);
    }

    /** Guards against a damaged header that ends the statement before it, or that fills the log. */
    @Test
    public void invalidStatementIsCountedAndLoggedOnce() {
        Router a = routers.get("a");
        a.observe(SLOW);
        List<LogRecord> logged = new ArrayList<>();
        Logger logger = Logger.getLogger(LoadStatements.class.getName());
        logger.setFilter(logged::add);
        IntStream.range(0, 3).forEach(i -> a.statements.observe(a.replica(), Either.left("two figures"), 10_000, "q"));
        logger.setFilter(null);
        assertEquals(logged.size(), 1);
        assertEquals(a.pace(), 2.5);
        String text = a.metrics.scrape().getResult().getBody().asString(StandardCharsets.UTF_8);
        assertTrue(text.contains("hornbeam_load_statements_total{source=\"invalid\"} 3"), text);
        assertTrue(text.contains("hornbeam_slow_replicas 1"), text);
    }
}
