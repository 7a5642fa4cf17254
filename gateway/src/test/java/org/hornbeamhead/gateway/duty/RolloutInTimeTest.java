package org.hornbeamhead.gateway.duty;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Many replicas, and versions that are named before the last one is in place everywhere. */
public class RolloutInTimeTest {
    private static final int REPLICAS = 42;
    private static final int VERSIONS = 14;
    private static final long BOUND = 8_000;
    private static final int DARK = 3;
    private static final long DARK_MILLIS = 1_500;
    private static final long DARK_EVERY_MILLIS = 5_000;
    /** A replica that has loaded comes back idle, and is as busy as the others this long after. */
    private static final long BUSY_AFTER_MILLIS = 2_500;

    private Random random;
    private DutyWorld world;
    private ReplicaRegistry registry;
    private double used;
    private long named;
    private final Map<Long, Long> namedAt = new HashMap<>();
    private final Map<String, Long> late = new TreeMap<>();

    @DataProvider
    public Object[][] days() {
        List<Object[]> days = new ArrayList<>();
        for (double u : new double[] {0.2, 0.35, 0.5, 0.9}) {
            for (long seed = 1; seed <= 5; seed++) {
                days.add(new Object[] {u, seed});
            }
        }
        return days.toArray(Object[][]::new);
    }

    /**
     * Callers' requests begin on weights that are out of use. A version is named while the one before is brought to 42
     * replicas: those that have just loaded are idle and might be ordered again before others that still have the
     * version before that. Some replicas answer nothing for a while, some finish long runs first. Each must leave a
     * version within the bound after its successor was named.
     */
    @Test(dataProvider = "days")
    public void noReplicaKeepsAVersionBeyondTheBound(double usedPart, long seed) {
        random = new Random(seed);
        used = usedPart;
        late.clear();
        namedAt.clear();
        world = new DutyWorld(REPLICAS, BOUND, this::loadMillis);
        registry = world.router("a", 0).registry;
        world.timers.advance(2 * DutyWorld.PAUSE);
        named = 1;
        nameNext();
        darken();
        work();
        watch();
        world.timers.advance(VERSIONS * 4_400 + BOUND);
        assertTrue(late.isEmpty(), "milliseconds beyond the bound: " + late);
    }

    /** Most replicas begin to load at once; some first finish runs of a second or two. */
    private long loadMillis() {
        return random.nextInt(4) == 0 ? random.nextLong(2_000, 3_000) : random.nextLong(1_300, 1_600);
    }

    private void nameNext() {
        if (named > VERSIONS) {
            return;
        }
        named++;
        world.name(named);
        namedAt.put(named, world.clock.monotonicMillis());
        world.timers.schedule(random.nextLong(3_200, 4_400), this::nameNext);
    }

    private void darken() {
        for (int i = 0; i < DARK; i++) {
            String id = "r" + random.nextInt(REPLICAS);
            world.replicas.dark.add(id);
            world.timers.schedule(DARK_MILLIS, () -> world.replicas.dark.remove(id));
        }
        world.timers.schedule(DARK_EVERY_MILLIS, this::darken);
    }

    private void work() {
        registry.all().forEach(this::work);
        world.timers.schedule(200, this::work);
    }

    private void work(LiveReplica replica) {
        long now = world.clock.monotonicMillis();
        long since = Math.max(0, now - world.replicas.loadedAt(replica.entry().id()));
        double part = used * Math.min(1, (double) since / BUSY_AFTER_MILLIS);
        replica.load().recordHint("other", 1, 0, (int) (part * DutyWorld.MEMORY_TOKENS), now);
    }

    private void watch() {
        long now = world.clock.monotonicMillis();
        registry.all().forEach(r -> {
            String id = r.entry().id();
            long version = world.replicas.version(id);
            long since = now - namedAt.getOrDefault(version + 1, now);
            if (since > BOUND) {
                late.merge(id + " on version " + version, since - BOUND, Math::max);
            }
        });
        world.timers.schedule(10, this::watch);
    }
}
