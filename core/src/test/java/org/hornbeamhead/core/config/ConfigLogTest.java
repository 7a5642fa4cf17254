package org.hornbeamhead.core.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.hornbeamhead.core.store.FakeStore;
import org.hornbeamhead.core.store.FakeStore.Fault;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigLogTest {
    private static final String FIRST = "[fleet]\nname = a\n";

    private FakeStore store;
    private ConfigLog log;

    @BeforeMethod
    public void setUp() {
        store = new FakeStore();
        log = new ConfigLog(store);
    }

    private static ConfigAuthor author(String id) {
        return new ConfigAuthor("somchai", "because", 1, id);
    }

    private AppendResult append(ConfigState base, String text, String id) {
        return log.append(base, text, author(id)).toCompletableFuture().join();
    }

    private ConfigState latest(ConfigState known) {
        return log.latest(known).toCompletableFuture().join().get();
    }

    private static ConfigState accepted(AppendResult result) {
        return ((AppendResult.Accepted) result).state();
    }

    // Two operators append to the same base version. The first succeeds; the second gets a conflict that lists the
    // intervening entries, and its change is not applied.
    @Test
    public void concurrentAppendsToOneVersionGiveOneSuccessAndOneConflict() {
        ConfigState base = accepted(append(ConfigState.NONE, FIRST, "c1"));
        append(base, FIRST + "[class x]\nkind = batch\n", "c2");
        AppendResult second = append(base, FIRST + "[class y]\nkind = batch\n", "c3");
        AppendResult.Conflict conflict = (AppendResult.Conflict) second;
        assertEquals(conflict.interveningRecords().get(0).changeId(), "c2");
        assertEquals(conflict.interveningRecords().get(0).changes().get(0).name(), "class x");
        assertEquals(latest(ConfigState.NONE).version(), 2);
    }

    // The reply to a write is lost, before or after the write took effect. The change must be applied at most once, and
    // the result must say whether it was applied or that this is unknown.
    @DataProvider
    public Object[][] writeFaults() {
        return new Object[][] {
            {new Fault[] {Fault.LOST_ANSWER}, AppendResult.Accepted.class},
            {new Fault[] {Fault.LOST_REQUEST}, AppendResult.Accepted.class},
            {new Fault[] {Fault.REFUSED, Fault.LOST_ANSWER}, AppendResult.Accepted.class},
            {
                new Fault[] {Fault.REFUSED, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED},
                AppendResult.NotApplied.class
            },
            {
                new Fault[] {Fault.LOST_REQUEST, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED},
                AppendResult.InDoubt.class
            },
        };
    }

    @Test(dataProvider = "writeFaults")
    public void lostRepliesAreResolvedByReadingTheEntryBack(Fault[] faults, Class<?> expected) {
        store.failNextWrites(faults);
        AppendResult result = append(ConfigState.NONE, FIRST, "c1");
        assertEquals(result.getClass(), expected);
        assertTrue(latest(ConfigState.NONE).version() <= 1);
    }

    // The writer stops after creating the entry and before updating the head key. Readers must look beyond the head and
    // find the entry.
    @Test
    public void staleHeadKeyDoesNotHideANewerVersion() {
        ConfigState one = accepted(append(ConfigState.NONE, FIRST, "c1"));
        store.failNextWrites(Fault.NONE, Fault.REFUSED);
        append(one, FIRST + "; more\n", "c2");
        assertEquals(store.value(ConfigLog.HEAD).orElseThrow(), "1 1");
        assertEquals(latest(ConfigState.NONE).version(), 2);
        assertEquals(latest(one).version(), 2);
    }

    @Test
    public void readingManyVersionsStartsAtTheLastFullTextEntry() {
        ConfigState state = ConfigState.NONE;
        for (int i = 1; i <= 200; i++) {
            String text = FIRST + "[customer c" + i % 7 + "]\nkey = " + i + "\n";
            state = accepted(append(state, text, "c" + i));
        }
        int before = store.reads();
        ConfigState fresh = latest(ConfigState.NONE);
        assertEquals(fresh.version(), 200);
        assertEquals(fresh.document().text(), state.document().text());
        assertTrue(store.reads() - before <= 70, "a fresh reader took " + (store.reads() - before) + " reads");
    }

    // Five operators append concurrently to a service that refuses writes and loses replies, while holders receive
    // states at random, some of them stale. Versions never decrease, and every accepted change is in the log exactly
    // once.
    @Test(invocationCount = 5)
    public void acceptedChangesAreNeverLostUnderRandomFaults() {
        long seed = 1 + latest(ConfigState.NONE).version();
        SplittableRandom draws = new SplittableRandom(seed);
        List<ConfigState> operators = new ArrayList<>();
        List<ConfigHolder> holders = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            operators.add(ConfigState.NONE);
            holders.add(new ConfigHolder());
        }
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            int operator = draws.nextInt(5);
            if (draws.nextInt(3) == 0) {
                store.failNextWrites(Fault.values()[draws.nextInt(Fault.values().length)]);
            }
            String id = "c" + i;
            AppendResult result =
                    append(operators.get(operator), FIRST + "[class k" + operator + "]\nkind = " + i + "\n", id);
            if (result instanceof AppendResult.Accepted a) {
                accepted.add(id);
                operators.set(operator, a.state());
            } else {
                operators.set(operator, latest(operators.get(operator)));
            }
            ConfigHolder holder = holders.get(draws.nextInt(5));
            long before = holder.state().version();
            holder.offer(operators.get(draws.nextInt(5)));
            assertTrue(holder.state().version() >= before, "seed " + seed);
        }
        List<String> logged = new ArrayList<>();
        for (long v = 1; v <= latest(ConfigState.NONE).version(); v++) {
            logged.add(log.readRecord(v)
                    .toCompletableFuture()
                    .join()
                    .get()
                    .orElseThrow()
                    .changeId());
        }
        assertTrue(logged.containsAll(accepted), "seed " + seed);
        assertEquals(logged.stream().distinct().count(), logged.size(), "seed " + seed);
    }

    // A peer that resumes after a long pause supplies an old version, which is rejected by its version number.
    @Test
    public void holderRejectsOlderVersions() {
        ConfigState one = accepted(append(ConfigState.NONE, FIRST, "c1"));
        ConfigState two = accepted(append(one, FIRST + "[class x]\nkind = batch\nfinish-by = 06:00\n", "c2"));
        ConfigHolder holder = new ConfigHolder();
        assertTrue(holder.offer(two));
        assertFalse(holder.offer(one));
        assertFalse(holder.offer(one.recent()));
        assertEquals(holder.state().version(), 2);
        assertTrue(holder.config().classes().containsKey("x"));
    }

    @Test
    public void outdatedPeerReceivesMissingEntriesOrTheFullText() {
        ConfigState state = ConfigState.NONE;
        for (int i = 1; i <= 100; i++) {
            state = accepted(append(state, FIRST + "; " + i + "\n", "c" + i));
        }
        assertEquals(state.since(98).size(), 2);
        assertEquals(state.since(3).size(), 1);
        ConfigHolder holder = new ConfigHolder();
        assertTrue(holder.offer(state.since(0)));
        assertEquals(holder.state().document().text(), state.document().text());
    }
}
