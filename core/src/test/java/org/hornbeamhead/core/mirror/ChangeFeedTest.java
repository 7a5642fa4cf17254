package org.hornbeamhead.core.mirror;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ChangeFeedTest {
    private StoreMirror mirror;
    private ChangeFeed feed;

    @BeforeMethod
    public void setUp() {
        mirror = new StoreMirror();
        feed = new ChangeFeed(mirror);
    }

    private static StoreItem item(String key, long revision, String value) {
        return new StoreItem(key, revision, value, false);
    }

    private void write(StoreItem item, boolean renewal) {
        mirror.apply(new StoreChanges(List.of(item), item.revision(), false));
        if (!renewal) {
            feed.recordChange(item);
        }
    }

    /** Replicas renew their entries continuously. A waiting router must be woken by relevant changes only. */
    @Test
    public void leaseRenewalsAreNotReported() {
        mirror.apply(new StoreChanges(List.of(item("s1", 5, "ready")), 5, true));
        feed.recordChange(item("s1", 5, "ready"));
        write(item("s1", 6, "ready"), true);
        assertFalse(feed.hasChangesAfter(5));
        assertEquals(feed.changesSince(5), new StoreChanges(List.of(), 6, false));
        write(item("s1", 7, "draining"), false);
        assertTrue(feed.hasChangesAfter(6));
        assertEquals(feed.changesSince(6).items(), List.of(item("s1", 7, "draining")));
    }

    /**
     * A replica announces that it is draining, and renews that entry before a slow router asks again. The change must
     * be reported although the latest write of the key was a renewal.
     */
    @Test
    public void changeIsReportedAfterLaterRenewal() {
        mirror.apply(new StoreChanges(List.of(item("s1", 5, "ready")), 5, true));
        feed.recordChange(item("s1", 5, "ready"));
        write(item("s1", 6, "draining"), false);
        write(item("s1", 7, "draining"), true);
        assertEquals(feed.changesSince(5).items(), List.of(item("s1", 7, "draining")));
        assertEquals(feed.changesSince(6).items(), List.of());
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    /** After each answer, a router that polls occasionally must have the same relevant state as the reader. */
    @Test(dataProvider = "seeds")
    public void occasionalPollingSeesEveryChange(long seed) {
        Random random = new Random(seed);
        StoreMirror reader = new StoreMirror();
        ChangeFeed readerFeed = new ChangeFeed(reader);
        StoreMirror other = new StoreMirror();
        Map<String, String> expected = new HashMap<>();
        reader.apply(new StoreChanges(List.of(), 1, true));
        for (long revision = 2; revision < 3_000; revision++) {
            String key = "k" + random.nextInt(20);
            boolean removed = expected.containsKey(key) && random.nextInt(10) == 0;
            boolean renewal = expected.containsKey(key) && !removed && random.nextInt(3) > 0;
            String value = removed ? "" : renewal ? expected.get(key) : "v" + revision;
            if (removed) {
                expected.remove(key);
            } else {
                expected.put(key, value);
            }
            StoreItem item = new StoreItem(key, revision, value, removed);
            reader.apply(new StoreChanges(List.of(item), revision, false));
            if (!renewal) {
                readerFeed.recordChange(item);
            }
            if (random.nextInt(30) == 0) {
                other.apply(readerFeed.changesSince(other.revision()));
                Map<String, String> actual = new HashMap<>();
                other.withPrefix("").forEach(i -> actual.put(i.key(), i.value()));
                assertEquals(actual, expected);
            }
        }
    }
}
