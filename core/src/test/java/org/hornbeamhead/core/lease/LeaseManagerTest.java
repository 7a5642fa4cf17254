package org.hornbeamhead.core.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.hornbeamhead.core.store.FakeStore;
import org.hornbeamhead.core.store.FakeStore.Fault;
import org.hornbeamhead.core.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LeaseManagerTest {
    private static final Duration TTL = Duration.ofSeconds(4);

    private FakeStore store;
    private ManualClock clock;

    @BeforeMethod
    public void setUp() {
        store = new FakeStore();
        clock = new ManualClock(0);
    }

    private LeaseManager manager(String holder) {
        return new LeaseManager(store, clock, "pool", holder, TTL);
    }

    @Test
    public void onlyOneManagerHoldsTheLease() {
        LeaseManager a = manager("a");
        LeaseManager b = manager("b");
        a.renewOrAcquire();
        b.renewOrAcquire();
        assertTrue(a.validLease().isPresent());
        assertFalse(b.validLease().isPresent());
    }

    // A holder is paused, its lease expires, another process takes over, and the first one resumes. Its own clock must
    // show it that it may not act, and the new holder's fencing number must be higher, for engines that check it.
    @Test
    public void pausedHolderLosesLeaseToHolderWithHigherFence() {
        LeaseManager a = manager("a");
        a.renewOrAcquire();
        LeaseState before = a.validLease().orElseThrow();
        clock.advance(TTL.toMillis());
        store.expireLease(before.lease());
        LeaseManager b = manager("b");
        b.renewOrAcquire();
        assertFalse(a.validLease().isPresent());
        assertTrue(b.validLease().orElseThrow().fence() > before.fence());
        a.renewOrAcquire();
        assertFalse(a.validLease().isPresent());
    }

    // A lease that is not renewed must become invalid for its holder before the platform expires it, or two holders
    // could act at once.
    @Test
    public void unrenewedLeaseBecomesInvalidBeforeItsTtl() {
        LeaseManager a = manager("a");
        a.renewOrAcquire();
        clock.advance(TTL.toMillis() * 3 / 4);
        assertFalse(a.validLease().isPresent());
    }

    // Renewals fail during an outage of the store. The lease stays valid until its safety margin begins, and a renewal
    // after the outage extends a lease that has not expired.
    @Test
    public void renewalAfterOutageExtendsUnexpiredLease() {
        LeaseManager a = manager("a");
        a.renewOrAcquire();
        store.setOutage(true);
        clock.advance(2_000);
        a.renewOrAcquire();
        assertTrue(a.validLease().isPresent());
        store.setOutage(false);
        a.renewOrAcquire();
        clock.advance(2_000);
        assertTrue(a.validLease().isPresent());
    }

    // Three managers compete for a lease while the store refuses writes or loses replies, and the lease expires at
    // random. Each new holder's fencing number must be higher than all earlier ones.
    @Test
    public void fencingNumberIncreasesWithEachHolderUnderRandomFaults() {
        SplittableRandom random = new SplittableRandom(3);
        LeaseManager[] managers = {manager("a"), manager("b"), manager("c")};
        long highest = 0;
        String currentLease = "";
        int changes = 0;
        for (int i = 0; i < 3_000; i++) {
            if (random.nextInt(3) == 0) {
                store.failNextWrites(Fault.values()[random.nextInt(Fault.values().length)]);
            }
            int index = random.nextInt(3);
            managers[index].renewOrAcquire();
            if (managers[index].validLease().isPresent()) {
                LeaseState state = managers[index].validLease().get();
                String leaseId = state.lease();
                if (!leaseId.equals(currentLease)) {
                    assertTrue(state.fence() > highest, "step " + i);
                    highest = state.fence();
                    currentLease = leaseId;
                    changes++;
                }
            }
            if (random.nextInt(20) == 0) {
                clock.advance(TTL.toMillis());
                store.expireLease(currentLease);
            }
        }
        assertTrue(changes > 50, changes + " holders");
    }

    @Test
    public void releasedLeaseCanBeAcquiredImmediately() {
        LeaseManager a = manager("a");
        a.renewOrAcquire();
        a.release();
        LeaseManager b = manager("b");
        b.renewOrAcquire();
        assertEquals(b.validLease().orElseThrow().fence(), 2);
    }

    @DataProvider
    public Object[][] pendingOperations() {
        return new Object[][] {{"renewal", true}, {"acquisition", false}};
    }

    /**
     * Guards against a released lease being restored by a late reply. A renewal or an acquisition is pending when the
     * lease is released, and its reply is received afterwards. If the reply were applied, the process would count as a
     * holder, also in its metrics, for up to three quarters of the lease although another one has acquired it. A lease
     * acquired that way would be renewed by nobody and block the next holder until it expires.
     */
    @Test(dataProvider = "pendingOperations")
    public void replyAfterReleaseDoesNotRestoreLease(String operation, boolean completesAtOnce) {
        LeaseManager a = manager("a");
        if (operation.equals("renewal")) {
            a.renewOrAcquire();
            clock.advance(2_000);
        }
        store.holdLeaseReplies();
        a.renewOrAcquire();
        CompletableFuture<Void> released = a.release().toCompletableFuture();
        boolean doneBeforeReply = released.isDone();
        store.releaseHeldReplies();
        assertFalse(a.validLease().isPresent());
        assertTrue(released.isDone());
        assertEquals(doneBeforeReply, completesAtOnce);
        LeaseManager b = manager("b");
        b.renewOrAcquire();
        assertTrue(b.validLease().isPresent());
        assertFalse(a.validLease().isPresent());
        clock.advance(TTL.toMillis());
        a.renewOrAcquire();
        assertFalse(a.validLease().isPresent());
    }

    /** Acquires the lease with a manager whose process then ends, and returns its fencing number. */
    private long acquireAndExpire(String holder) {
        LeaseManager manager = manager(holder);
        manager.renewOrAcquire();
        LeaseState acquired = manager.validLease().orElseThrow();
        store.expireLease(acquired.lease());
        return acquired.fence();
    }

    /** Guards against an acquisition that was suspended while another holder came and went, and that then succeeds. */
    @Test
    public void acquisitionSuspendedAcrossAnotherHolderFails() {
        LeaseManager suspended = manager("a");
        store.holdLeaseReplies();
        suspended.renewOrAcquire();
        store.stopHoldingReplies();
        long fence = acquireAndExpire("b");
        store.releaseHeldReplies();
        assertFalse(suspended.validLease().isPresent());
        suspended.renewOrAcquire();
        assertTrue(suspended.validLease().orElseThrow().fence() > fence);
    }

    @DataProvider
    public Object[][] writesOfAnAcquisition() {
        return new Object[][] {{"lease", 0}, {"fence", 1}};
    }

    /**
     * Guards against a write of an acquisition that the store executes after the end of a later holder, when its key is
     * absent again, and that blocks the lease or lets the fencing number fall.
     */
    @Test(dataProvider = "writesOfAnAcquisition")
    public void writeExecutedAfterLaterHolderHasNoEffect(String write, int writesBefore) {
        LeaseManager a = manager("a");
        store.delayWriteAfter(writesBefore);
        a.renewOrAcquire();
        assertFalse(a.validLease().isPresent(), write);
        long fence = acquireAndExpire("b");
        store.executeLateWrite();
        assertFalse(a.validLease().isPresent(), write);
        assertTrue(acquireAndExpire("c") > fence, write);
    }
}
