package org.hornbeamhead.gateway.state;

import static org.testng.Assert.assertEquals;

import io.activej.promise.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which sizes of the fleet are recorded in the store, when, and by whom. */
public class FleetSizeRecorderTest {
    private static final int FLEET_SIZE = 8;

    private final List<String> written = new ArrayList<>();
    private ManualTimers timers;
    private StoreMirror mirror;
    private RouterList list;
    private boolean current;
    private long revision;

    /** A store whose writes are applied to the mirror at once. */
    private final class Store implements ReadOnlyStore {
        @Override
        public Promise<StoreChanges> readAll() {
            throw new UnsupportedOperationException();
        }

        @Override
        public Promise<StoreChanges> watch(long after, Duration wait) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Promise<WriteReply> write(String key, OptionalLong expected, String value, Optional<String> lease) {
            assertEquals(
                    expected,
                    OptionalLong.of(mirror.get(key).map(StoreItem::revision).orElse(0L)));
            written.add(value);
            mirror.apply(new StoreChanges(List.of(new StoreItem(key, ++revision, value, false)), revision, false));
            return Promise.of(new WriteReply.Written(revision));
        }
    }

    private static RouterEntry entry(int index) {
        String address = "10.0.0." + index + ":80";
        return new RouterEntry("n" + index, address, address, address, "z", 100, 0);
    }

    private static RouterList listOf(int self, int routers) {
        RouterList list = new RouterList(entry(self), () -> true, new ManualClock(0));
        IntStream.rangeClosed(1, routers).forEach(i -> list.update(item(i, false)));
        return list;
    }

    private static StoreItem item(int index, boolean removed) {
        return new StoreItem(entry(index).key(), 1, entry(index).toJson(), removed);
    }

    private static int firstReader() {
        return IntStream.rangeClosed(1, FLEET_SIZE)
                .filter(i -> listOf(i, FLEET_SIZE).isFirstReader())
                .findFirst()
                .orElseThrow();
    }

    /** Starts the recorder of the first reader. */
    @BeforeMethod
    public void setUp() {
        ManualClock clock = new ManualClock(0);
        timers = new ManualTimers(clock);
        mirror = new StoreMirror();
        list = listOf(firstReader(), 0);
        current = true;
        revision = 1;
        written.clear();
        mirror.addListener(item -> list.updateFleetSize(item));
        new FleetSizeRecorder(clock, timers, new Store(), mirror, list, () -> current).start();
    }

    private void setListed(boolean listed) {
        IntStream.rangeClosed(1, FLEET_SIZE).forEach(i -> list.update(item(i, !listed)));
    }

    @Test
    public void largerFleetIsRecordedOnce() {
        setListed(true);
        timers.advance(10_000);
        assertEquals(written, List.of("8"));
    }

    /** Guards against a size that is forgotten because all routers lost their entries together. */
    @Test
    public void sizeOutlivesTheEntriesOfTheRouters() {
        setListed(true);
        timers.advance(10_000);
        setListed(false);
        timers.advance(50_000);
        assertEquals(list.count(), 1);
        assertEquals(list.fleetSize(), 8);
        timers.advance(20_000);
        assertEquals(list.fleetSize(), 1);
    }

    /** Guards against recording a list that may miss routers, since the store is away. */
    @Test
    public void listThatIsNotCurrentIsNotRecorded() {
        setListed(true);
        current = false;
        timers.advance(100_000);
        assertEquals(written, List.of());
    }

    @Test
    public void onlyTheFirstReaderRecords() {
        long firstReaders = IntStream.rangeClosed(1, FLEET_SIZE)
                .filter(i -> listOf(i, FLEET_SIZE).isFirstReader())
                .count();
        assertEquals(firstReaders, 1);
    }

    @DataProvider
    public Object[][] invalidSizes() {
        return new Object[][] {{""}, {"many"}, {"-3"}, {"0"}, {"1e9"}, {"2.5"}};
    }

    /** Guards against a damaged record that changes the limits. */
    @Test(dataProvider = "invalidSizes")
    public void invalidSizeIsIgnored(String value) {
        list.updateFleetSize(new StoreItem(FleetSizeRecorder.KEY, 5, value, false));
        assertEquals(list.fleetSize(), 1);
    }
}
