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

/** Tests a rollout to many replicas in which further target versions are set before all replicas serve the last one. */
public class RolloutDeadlineTest {
    private static final int REPLICAS = 42;
    private static final int VERSIONS = 14;
    private static final long LIMIT_MILLIS = 8_000;
    private static final int OUTAGE_REPLICAS = 3;
    private static final long OUTAGE_MILLIS = 1_500;
    private static final long OUTAGE_INTERVAL_MILLIS = 5_000;
    /** A replica is idle after a load. After this time it is as busy as the others. */
    private static final long RAMP_UP_MILLIS = 2_500;

    private Random random;
    private RolloutTestBed testBed;
    private ReplicaRegistry registry;
    private double memoryUse;
    private long targetVersion;
    private final Map<Long, Long> targetSetAt = new HashMap<>();
    private final Map<String, Long> overdueMillis = new TreeMap<>();

    @DataProvider
    public Object[][] cases() {
        List<Object[]> cases = new ArrayList<>();
        for (double use : new double[] {0.2, 0.35, 0.5, 0.9}) {
            for (long seed = 1; seed <= 5; seed++) {
                cases.add(new Object[] {use, seed});
            }
        }
        return cases.toArray(Object[][]::new);
    }

    /**
     * Requests would begin on weights that are out of use if the rollout were too slow. A target version is set while
     * the one before is rolled out to 42 replicas. Those that have just loaded are idle and might be ordered again
     * before others that still serve an older version. Some replicas are unreachable for a while, and some finish long
     * requests first. Each replica must leave a version within the time limit after its successor was set.
     */
    @Test(dataProvider = "cases")
    public void noReplicaServesSupersededVersionBeyondLimit(double maxMemoryUse, long seed) {
        random = new Random(seed);
        memoryUse = maxMemoryUse;
        overdueMillis.clear();
        targetSetAt.clear();
        testBed = new RolloutTestBed(REPLICAS, LIMIT_MILLIS, this::loadMillis);
        registry = testBed.startRouter("a", 0).registry;
        testBed.timers.advance(2 * RolloutTestBed.PAUSE_MILLIS);
        targetVersion = 1;
        setNextTarget();
        startOutage();
        updateLoad();
        checkVersions();
        testBed.timers.advance(VERSIONS * 4_400 + LIMIT_MILLIS);
        assertTrue(overdueMillis.isEmpty(), "milliseconds beyond the limit: " + overdueMillis);
    }

    /** Most replicas begin to load at once; some first finish requests that take a second or two. */
    private long loadMillis() {
        return random.nextInt(4) == 0 ? random.nextLong(2_000, 3_000) : random.nextLong(1_300, 1_600);
    }

    private void setNextTarget() {
        if (targetVersion > VERSIONS) {
            return;
        }
        targetVersion++;
        testBed.setTargetVersion(targetVersion);
        targetSetAt.put(targetVersion, testBed.clock.monotonicMillis());
        testBed.timers.schedule(random.nextLong(3_200, 4_400), this::setNextTarget);
    }

    private void startOutage() {
        for (int i = 0; i < OUTAGE_REPLICAS; i++) {
            String id = "r" + random.nextInt(REPLICAS);
            testBed.replicas.unreachable.add(id);
            testBed.timers.schedule(OUTAGE_MILLIS, () -> testBed.replicas.unreachable.remove(id));
        }
        testBed.timers.schedule(OUTAGE_INTERVAL_MILLIS, this::startOutage);
    }

    private void updateLoad() {
        registry.all().forEach(this::updateLoad);
        testBed.timers.schedule(200, this::updateLoad);
    }

    private void updateLoad(LiveReplica replica) {
        long now = testBed.clock.monotonicMillis();
        long elapsedMillis =
                Math.max(0, now - testBed.replicas.loadEndsAt(replica.entry().id()));
        double currentUse = memoryUse * Math.min(1, (double) elapsedMillis / RAMP_UP_MILLIS);
        replica.load().recordHint("other", 1, 0, (int) (currentUse * RolloutTestBed.MEMORY_TOKENS), now);
    }

    private void checkVersions() {
        long now = testBed.clock.monotonicMillis();
        registry.all().forEach(r -> {
            String id = r.entry().id();
            long version = testBed.replicas.version(id);
            long elapsedMillis = now - targetSetAt.getOrDefault(version + 1, now);
            if (elapsedMillis > LIMIT_MILLIS) {
                overdueMillis.merge(id + " on version " + version, elapsedMillis - LIMIT_MILLIS, Math::max);
            }
        });
        testBed.timers.schedule(10, this::checkVersions);
    }
}
