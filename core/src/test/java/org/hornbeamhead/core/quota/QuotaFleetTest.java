package org.hornbeamhead.core.quota;

import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays customers within and far beyond their quotas at fleets of several sizes. The bounds are those that the platform
 * states: a tenth and 110,000 tokens over the quota in any eight seconds.
 */
public class QuotaFleetTest {
    private static final long WINDOW_MILLIS = 8_000;
    private static final double OVERSHOOT = 0.1;
    private static final long SLACK_TOKENS = 110_000;
    private static final long LENGTH_MILLIS = 12_000;
    private static final int[] FLEET_SIZES = {8, 68};

    private static QuotaLimit limit(double rate) {
        return new QuotaLimit(QuotaUnit.TOKENS, rate, rate, 200);
    }

    private static double allowed(double rate) {
        return rate * (WINDOW_MILLIS / 1_000.0 + 1) * (1 + OVERSHOOT) + SLACK_TOKENS;
    }

    private static void assertWithinRule(QuotaFleet.Result result, double rate, String what) {
        double use = result.worstWindow(WINDOW_MILLIS) / allowed(rate);
        assertTrue(use <= 1, what + ": " + use + " of what the rule allows");
    }

    @DataProvider
    public Object[][] loads() {
        return IntStream.of(FLEET_SIZES)
                .boxed()
                .flatMap(size -> IntStream.of(29_000, 415_145).boxed().flatMap(rate -> IntStream.of(1, 2)
                        .mapToObj(seed -> new Object[] {size, rate.doubleValue(), (long) seed})))
                .toArray(Object[][]::new);
    }

    /** Guards against a customer that sends several times its quota and takes the engines from all others. */
    @Test(dataProvider = "loads")
    public void customerBeyondItsQuotaIsHeldToIt(int size, double rate, long seed) {
        QuotaFleet.Result r = new QuotaFleet(size, seed).request("c", limit(rate), 4.2, LENGTH_MILLIS);
        assertWithinRule(r, rate, "beyond");
        assertTrue(r.servedShare() > 0.9, "served of the quota: " + r.servedShare());
    }

    /** Guards against refusing customers within their quota, as equal parts for each router do. */
    @Test(dataProvider = "loads")
    public void customerWithinItsQuotaIsServed(int size, double rate, long seed) {
        QuotaFleet.Result r = new QuotaFleet(size, seed).request("c", limit(rate), 0.56, LENGTH_MILLIS);
        assertTrue(r.servedShare() > 0.95, "served of what one exact bucket serves: " + r.servedShare());
    }

    /** Guards against a full quota on each side of a partition, and against refusals once the sides meet again. */
    @Test(dataProvider = "loads")
    public void partitionDoesNotMultiplyTheQuota(int size, double rate, long seed) {
        QuotaFleet fleet = new QuotaFleet(size, seed);
        int half = size / 2;
        fleet.setReaches((from, to) -> from < half == to < half);
        fleet.run(2_000);
        assertWithinRule(fleet.request("c", limit(rate), 4.2, LENGTH_MILLIS), rate, "partitioned");
        fleet.setReaches((from, to) -> true);
        fleet.run(1_000);
        QuotaFleet.Result after = fleet.request("c", limit(rate), 0.56, 6_000);
        assertTrue(after.servedShare() > 0.9, "served after the partition: " + after.servedShare());
    }

    /** Guards against a new burst from each router that restarts, when all restart one after the other. */
    @Test(dataProvider = "loads")
    public void restartsInTurnGiveNoNewBurst(int size, double rate, long seed) {
        QuotaFleet fleet = new QuotaFleet(size, seed);
        Map<Long, Runnable> actions = new HashMap<>();
        int step = Math.max(1, size / 8);
        IntStream.range(0, size / step).forEach(i -> {
            actions.put(1_000L + i * 1_500L, () -> fleet.stop(i * step, (i + 1) * step));
            actions.put(2_000L + i * 1_500L, () -> fleet.start(i * step, (i + 1) * step));
        });
        assertWithinRule(fleet.request("c", limit(rate), 4.2, LENGTH_MILLIS, actions), rate, "restarting");
    }

    /** Guards against a new burst for each customer when all routers end and start at the same time. */
    @Test(dataProvider = "loads")
    public void restartOfAllGivesNoNewBurst(int size, double rate, long seed) {
        QuotaFleet fleet = new QuotaFleet(size, seed);
        Map<Long, Runnable> actions = Map.of(
                4_000L, () -> fleet.stop(0, size),
                5_200L, () -> fleet.start(0, size));
        assertWithinRule(fleet.request("c", limit(rate), 4.2, LENGTH_MILLIS, actions), rate, "restarted");
        QuotaFleet second = new QuotaFleet(size, seed);
        Map<Long, Runnable> early = Map.of(
                4_000L, () -> second.stop(0, size),
                5_200L, () -> second.start(0, size));
        QuotaFleet.Result within = second.request("c", limit(rate), 0.56, LENGTH_MILLIS, early);
        double lessOneSecond = 1 - 1_000.0 / LENGTH_MILLIS;
        assertTrue(within.servedShare() > lessOneSecond, "served beside the restart: " + within.servedShare());
    }

    /** Guards against a whole quota at each of the routers that hear neither the store nor one another. */
    @Test(dataProvider = "loads")
    public void isolatedRoutersDivideTheQuota(int size, double rate, long seed) {
        QuotaFleet fleet = new QuotaFleet(size, seed);
        fleet.setReaches((from, to) -> false);
        fleet.setStoreReachable(false);
        fleet.run(2_000);
        QuotaFleet.Result r = fleet.request("c", limit(rate), 4.2, LENGTH_MILLIS);
        // Each isolated router may admit one request more than its share; a request may have 39,000 tokens.
        double bound = allowed(rate) + size * 39_000.0;
        assertTrue(r.worstWindow(WINDOW_MILLIS) <= bound, r.worstWindow(WINDOW_MILLIS) + " of " + bound);
    }

    /** Guards against wrong levels when one hint in five is lost, in both directions independently. */
    @Test(dataProvider = "loads")
    public void lostHintsDoNoHarm(int size, double rate, long seed) {
        QuotaFleet fleet = new QuotaFleet(size, seed);
        Random loss = new Random(seed);
        fleet.setReaches((from, to) -> loss.nextInt(5) > 0);
        assertWithinRule(fleet.request("c", limit(rate), 4.2, LENGTH_MILLIS), rate, "lossy");
    }
}
