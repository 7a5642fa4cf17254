package org.hornbeamhead.gateway.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when the view of the store counts as complete up to the moment of a question. */
public class StoreConfirmationTest {
    private static final long AT_MOST_MILLIS = 400;

    private ManualClock clock;
    private ManualTimers timers;
    private StoreMirror mirror;
    private RoutingState state;
    private SuspensionDetector suspension;
    private Store store;

    /** What the store does with reads. */
    private enum Behaviour {
        ANSWERS,
        SILENT,
        FAILS,
        WATCHES_LATE
    }

    private final class Store implements ReadOnlyStore {
        private final SimulatedStore items = new SimulatedStore(timers);
        private Behaviour behaviour = Behaviour.ANSWERS;
        private int reads;

        private static Promise<StoreChanges> failed() {
            return Promise.ofException(new StoreUnavailableException("busy"));
        }

        private PlatformStore client() {
            return items.clientFor(() -> behaviour != Behaviour.SILENT);
        }

        @Override
        public Promise<StoreChanges> readAll() {
            reads++;
            return behaviour == Behaviour.FAILS ? failed() : client().readAll();
        }

        @Override
        public Promise<StoreChanges> watch(long after, Duration wait) {
            reads++;
            return switch (behaviour) {
                case WATCHES_LATE -> Promise.of(new StoreChanges(List.of(), after, false));
                case FAILS -> failed();
                default -> client().watch(after, wait);
            };
        }
    }

    @BeforeMethod
    public void setUp() {
        clock = new ManualClock(1_000_000);
        timers = new ManualTimers(clock);
        mirror = new StoreMirror();
        state = new RoutingState();
        store = new Store();
        suspension = new SuspensionDetector(
                new ManualTimers(clock), clock, millis -> state.addSuspendedTime(millis, clock.monotonicMillis()));
        timers.advance(10_000);
        store.items.put("servers/a", "1");
        mirror.apply(new StoreChanges(List.of(new StoreItem("servers/a", 2, "1", false)), 2, true));
    }

    private StoreConfirmation confirmation(int routers, boolean storeAway) {
        return new StoreConfirmation(new StoreConfirmation.Dependencies(
                timers, clock, store, mirror, state, suspension, () -> routers, () -> storeAway));
    }

    @DataProvider
    public Object[][] behaviours() {
        return new Object[][] {
            {Behaviour.ANSWERS, false, true},
            {Behaviour.SILENT, false, false},
            {Behaviour.FAILS, false, false},
            {Behaviour.WATCHES_LATE, false, false},
            {Behaviour.ANSWERS, true, false},
        };
    }

    /** Guards against conclusions from a mirror that lacks a change which the store has accepted. */
    @Test(dataProvider = "behaviours")
    public void viewIsCompleteOnlyIfTheStoreConfirmsIt(Behaviour behaviour, boolean storeAway, boolean expected) {
        store.items.put("servers/b", "1");
        store.behaviour = behaviour;
        List<Boolean> answers = new ArrayList<>();
        long asked = clock.monotonicMillis();
        confirmation(7, storeAway).confirm(answers::add);
        timers.advance(AT_MOST_MILLIS);
        assertEquals(answers, List.of(expected));
        assertEquals(mirror.get("servers/b").isPresent(), expected, "the change is known");
        assertEquals(state.completeUpTo() >= asked, expected);
    }

    /** Guards against a view that counts as confirmed by an answer from before the host was suspended. */
    @Test
    public void answerToAQuestionFromBeforeASuspensionConfirmsNothing() {
        List<Boolean> answers = new ArrayList<>();
        confirmation(7, false).confirm(answers::add);
        clock.skewWall(5_000);
        timers.advance(AT_MOST_MILLIS);
        assertEquals(answers, List.of(false));
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{1}, {7}, {95}};
    }

    /** Guards against more reads than the store takes when many callers resume streams at once. */
    @Test(dataProvider = "fleets")
    public void questionsAtTheSameTimeShareReads(int routers) {
        StoreConfirmation confirmation = confirmation(routers, false);
        List<Boolean> answers = new ArrayList<>();
        IntStream.range(0, 1_000).forEach(i -> {
            confirmation.confirm(answers::add);
            timers.advance(1);
        });
        timers.advance(AT_MOST_MILLIS);
        assertEquals(answers.size(), 1_000);
        assertTrue(answers.stream().allMatch(a -> a), "all are confirmed");
        assertTrue(
                (long) store.reads * routers <= 1_000 + AT_MOST_MILLIS,
                store.reads + " reads of each of " + routers + " routers");
    }

    @DataProvider
    public Object[][] slowStores() {
        return new Object[][] {
            {7, 50L, false},
            {95, 50L, false},
            {7, 100L, false},
            {95, 100L, false},
            {7, 100L, true},
            {95, 100L, true},
            {7, 150L, false},
            {95, 150L, false},
            {7, 150L, true},
            {95, 150L, true},
            {7, 250L, true},
        };
    }

    /** Guards against refusing resumed streams since a confirmation waits for one that others asked for. */
    @Test(dataProvider = "slowStores")
    public void slowStoreConfirmsInTime(int routers, long latencyMillis, boolean changes) {
        PlatformStore slow = new ReadOnlyStore() {
            @Override
            public Promise<StoreChanges> readAll() {
                return delayed(store.items.clientFor(() -> true).readAll());
            }

            @Override
            public Promise<StoreChanges> watch(long after, Duration wait) {
                return delayed(store.items.clientFor(() -> true).watch(after, wait));
            }

            private Promise<StoreChanges> delayed(Promise<StoreChanges> answer) {
                SettablePromise<StoreChanges> late = new SettablePromise<>();
                answer.whenResult(c -> timers.schedule(latencyMillis - 4, () -> late.set(c)));
                return late;
            }
        };
        StoreConfirmation confirmation = new StoreConfirmation(new StoreConfirmation.Dependencies(
                timers, clock, slow, mirror, state, suspension, () -> routers, () -> false));
        List<Boolean> answers = new ArrayList<>();
        IntStream.range(0, 300).forEach(i -> {
            if (changes) {
                store.items.put("servers/" + i % 7, "" + i);
            }
            confirmation.confirm(answers::add);
            timers.advance(10);
        });
        timers.advance(AT_MOST_MILLIS);
        assertEquals(answers.stream().filter(a -> !a).count(), 0, "refused of " + answers.size());
    }
}
