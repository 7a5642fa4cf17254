package org.hornbeamhead.controller;

import static org.testng.Assert.assertEquals;

import io.activej.promise.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.hornbeamhead.clients.EngineControl;
import org.hornbeamhead.core.config.ConfigAuthor;
import org.hornbeamhead.core.config.ConfigLog;
import org.hornbeamhead.core.config.ConfigState;
import org.hornbeamhead.core.drain.DrainOrder;
import org.hornbeamhead.core.drain.DrainOrders;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.daemon.HttpReply;
import org.hornbeamhead.daemon.Metrics;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * An operator drains an engine and sees work come back to it without having ended the drain. The former holder of the
 * pool's lease gives the order, then its lease lapses; the next holder has read no drain orders since, or only ones
 * from before, and takes what it lacks for an ended drain. So it orders the engine to take work, by itself or along
 * with new weights.
 */
public class ControllerDrainsTest {
    private static final String SELF = "127.0.0.1:1";
    private static final String ENGINE = "127.0.0.1:2";
    private static final String LEASE_KEY = "leases/controller/lm";
    private static final Duration LEASE_TTL = Duration.ofSeconds(6);
    private static final long STEP_MILLIS = 1_000;
    /** Enough to win the pool's lease and a permission to load, and to act upon them. */
    private static final int STEPS = 5;

    private static final String CONFIGURATION =
            """
            [fleet]
            name = a
            [pool lm]
            kind = engine
            model = m
            weights = w1
            """;

    /** What becomes of the reads of the drain orders before and after the lease is won. */
    private enum Reads {
        /** None succeeds. */
        FAILED,
        /** One from before the drain succeeded, and none after it. */
        OLD_THEN_FAILED,
        /** One from before the drain is answered after the lease was won. */
        LATE,
        /** They succeeded under an earlier lease of the same process, and none does after it. */
        EARLIER_LEASE
    }

    private ManualClock clock;
    private DrainStore store;
    private ObedientEngine engine;
    private PoolControllers controllers;

    @BeforeMethod
    public void setUp() {
        clock = new ManualClock(0);
        store = new DrainStore();
        engine = new ObedientEngine();
        new ConfigLog(store).append(ConfigState.NONE, CONFIGURATION, new ConfigAuthor("a", "r", 0, "c1"));
        List<Endpoint> hosts = List.of(
                new Endpoint(EndpointKind.ENTRY, "", SELF, "", "dc", false),
                new Endpoint(EndpointKind.ENGINE, "lm", ENGINE, "", "dc", false));
        controllers =
                new PoolControllers(store, () -> Promise.of(hosts), engine, clock, new Metrics(), SELF, LEASE_TTL);
    }

    private void steps(int count) {
        IntStream.range(0, count).forEach(i -> {
            controllers.step();
            clock.advance(STEP_MILLIS);
        });
    }

    private void drainUnderAnotherHolder(String weights) {
        store.put(DrainOrders.KEY, new DrainOrders(List.of(new DrainOrder(ENGINE, "ana", 0, "disk", ""))).format());
        engine.draining = true;
        engine.weights = weights;
    }

    @DataProvider
    public Object[][] reads() {
        return new Object[][] {
            {Reads.FAILED, "w1"},
            {Reads.FAILED, "w0"},
            {Reads.OLD_THEN_FAILED, "w1"},
            {Reads.OLD_THEN_FAILED, "w0"},
            {Reads.LATE, "w1"},
            {Reads.LATE, "w0"},
            {Reads.EARLIER_LEASE, "w1"},
            {Reads.EARLIER_LEASE, "w0"},
        };
    }

    @Test(dataProvider = "reads")
    public void aNewHolderKeepsADrainThatItHasNotRead(Reads reads, String weights) {
        if (reads != Reads.EARLIER_LEASE) {
            store.put(LEASE_KEY, "another");
        }
        store.drainReads(
                switch (reads) {
                    case FAILED -> DrainStore.Mode.FAIL;
                    case OLD_THEN_FAILED, EARLIER_LEASE -> DrainStore.Mode.ANSWER;
                    case LATE -> DrainStore.Mode.HOLD;
                });
        steps(STEPS);
        store.lapse();
        store.put(LEASE_KEY, "another");
        steps(STEPS);
        drainUnderAnotherHolder(weights);
        store.lapse();
        store.drainReads(DrainStore.Mode.FAIL);
        steps(1);
        store.answerHeld();
        steps(STEPS);
        assertEquals(controllers.leasesHeld(), 1);
        assertEquals(engine.undrainOrders(), List.of());
        store.drainReads(DrainStore.Mode.ANSWER);
        steps(STEPS);
        assertEquals(engine.undrainOrders(), List.of());
        assertEquals(engine.weights, "w1");
    }

    @DataProvider
    public Object[][] noDrain() {
        String ended = new DrainOrders(List.of(new DrainOrder(ENGINE, "ana", 0, "disk", "ana"))).format();
        return new Object[][] {{""}, {ended}};
    }

    // A drain that was ended, and a fleet in which none was ever ordered, need the order to take work.
    @Test(dataProvider = "noDrain")
    public void whatWasReadUnderTheLeaseEndsADrain(String orders) {
        engine.draining = true;
        if (!orders.isEmpty()) {
            store.put(DrainOrders.KEY, orders);
        }
        steps(STEPS);
        assertEquals(engine.undrainOrders().size(), 1);
    }

    /**
     * Guards against a process that wins a lease again while it ends, so that the next holder waits for it to lapse.
     */
    @Test
    public void seeksNoLeaseOnceItGaveThemBack() {
        steps(STEPS);
        assertEquals(controllers.leasesHeld(), 1);
        controllers.release();
        steps(STEPS);
        assertEquals(controllers.leasesHeld(), 0);
        assertEquals(store.leases(), 0);
    }

    /** An engine that does at once what it is told. */
    private static final class ObedientEngine implements EngineControl {
        private final List<Order> orders = new ArrayList<>();
        private String weights = "w1";
        private boolean draining;

        List<Order> undrainOrders() {
            return orders.stream().filter(o -> !o.draining()).toList();
        }

        @Override
        public Promise<LoadReport> load(String address) {
            return Promise.of(new LoadReport("i", "v1", "m", weights, 0, 0, draining));
        }

        @Override
        public Promise<HttpReply> order(String address, Order order) {
            orders.add(order);
            weights = order.weights();
            draining = order.draining();
            return Promise.of(new HttpReply(200, ""));
        }
    }
}
