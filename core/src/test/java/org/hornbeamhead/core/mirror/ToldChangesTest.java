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

public class ToldChangesTest {
    private StoreMirror mirror;
    private ToldChanges told;

    @BeforeMethod
    public void begin() {
        mirror = new StoreMirror();
        told = new ToldChanges(mirror);
    }

    private static StoreItem item(String key, long revision, String value) {
        return new StoreItem(key, revision, value, false);
    }

    private void write(StoreItem item, boolean renewal) {
        mirror.apply(new StoreChanges(List.of(item), item.revision(), false));
        if (!renewal) {
            told.changed(item);
        }
    }

    /** A router waits at a reader. Replicas renew their entries all the time; it is woken only by what matters. */
    @Test
    public void renewalsWakeNobody() {
        mirror.apply(new StoreChanges(List.of(item("s1", 5, "ready")), 5, true));
        told.changed(item("s1", 5, "ready"));
        write(item("s1", 6, "ready"), true);
        assertFalse(told.hasNewsFor(5));
        assertEquals(told.since(5), new StoreChanges(List.of(), 6, false));
        write(item("s1", 7, "draining"), false);
        assertTrue(told.hasNewsFor(6));
        assertEquals(told.since(6).items(), List.of(item("s1", 7, "draining")));
    }

    /**
     * A replica announces that it leaves, and renews that entry before a slow router asks again. The router must hear
     * of it though the newest write of the key was a renewal.
     */
    @Test
    public void aRenewalHidesNoChange() {
        mirror.apply(new StoreChanges(List.of(item("s1", 5, "ready")), 5, true));
        told.changed(item("s1", 5, "ready"));
        write(item("s1", 6, "draining"), false);
        write(item("s1", 7, "draining"), true);
        assertEquals(told.since(5).items(), List.of(item("s1", 7, "draining")));
        assertEquals(told.since(6).items(), List.of());
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    /** Whatever changes while a router asks now and then, what matters is the same on both sides after each answer. */
    @Test(dataProvider = "seeds")
    public void whoAsksNowAndThenMissesNothing(long seed) {
        Random random = new Random(seed);
        StoreMirror reader = new StoreMirror();
        ToldChanges tells = new ToldChanges(reader);
        StoreMirror other = new StoreMirror();
        Map<String, String> truth = new HashMap<>();
        reader.apply(new StoreChanges(List.of(), 1, true));
        for (long revision = 2; revision < 3_000; revision++) {
            String key = "k" + random.nextInt(20);
            boolean removed = truth.containsKey(key) && random.nextInt(10) == 0;
            boolean renewal = truth.containsKey(key) && !removed && random.nextInt(3) > 0;
            String value = removed ? "" : renewal ? truth.get(key) : "v" + revision;
            if (removed) {
                truth.remove(key);
            } else {
                truth.put(key, value);
            }
            StoreItem item = new StoreItem(key, revision, value, removed);
            reader.apply(new StoreChanges(List.of(item), revision, false));
            if (!renewal) {
                tells.changed(item);
            }
            if (random.nextInt(30) == 0) {
                other.apply(tells.since(other.revision()));
                Map<String, String> known = new HashMap<>();
                other.under("").forEach(i -> known.put(i.key(), i.value()));
                assertEquals(known, truth);
            }
        }
    }
}
