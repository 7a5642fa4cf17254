package org.hornbeamhead.core.shortage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.hornbeamhead.core.shortage.AdmissionQueue.Bounds;
import org.hornbeamhead.core.shortage.AdmissionQueue.Decision;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the order and the bounds of waiting requests. */
public class AdmissionQueueTest {
    private static final long LATEST_START = 1_500;
    private static final long WAIT_UNTIL = 750;

    private static WaitingRequest<String> request(String item, String customer, long bytes) {
        return new WaitingRequest<>(item, customer, 2, 100, bytes, LATEST_START, WAIT_UNTIL);
    }

    private static Decision offer(AdmissionQueue<String> queue, String item, String customer) {
        return queue.offer(request(item, customer, 1), 0, Bounds.ROUTER, 0).decision();
    }

    /** Guards against a wait without a shortage. */
    @Test
    public void sendsWhileThereIsRoom() {
        AdmissionQueue<String> idle = new AdmissionQueue<>();
        IntStream.range(0, 100)
                .forEach(i -> assertEquals(
                        idle.offer(request("r" + i, "a", 1), 1, Bounds.ROUTER, i)
                                .decision(),
                        Decision.SEND));
        assertEquals(idle.size(), 0);
    }

    /** Guards against a new request that overtakes those that wait. */
    @Test
    public void newRequestsQueueBehindWaitingOnes() {
        AdmissionQueue<String> full = new AdmissionQueue<>();
        assertEquals(offer(full, "a1", "a"), Decision.WAIT);
        assertEquals(full.offer(request("b1", "b", 1), 1, Bounds.ROUTER, 0).decision(), Decision.WAIT);
        assertEquals(full.poll(2, 0), List.of("a1", "b1"));
    }

    /** Guards against one customer's burst that delays the requests of others. */
    @Test
    public void customersTakeTurns() {
        AdmissionQueue<String> turns = new AdmissionQueue<>();
        IntStream.range(0, 3).forEach(i -> offer(turns, "a" + i, "a"));
        offer(turns, "b0", "b");
        assertEquals(turns.poll(4, 0), List.of("a0", "b0", "a1", "a2"));
        offer(turns, "a3", "a");
        offer(turns, "c0", "c");
        assertEquals(turns.poll(1, 0), List.of("c0"), "the customer with the fewest recent tokens");
    }

    /** Guards against a request that misses its target while a later one of its customer is sent. */
    @Test
    public void customersOwnRequestsGoByDeadline() {
        AdmissionQueue<String> ordered = new AdmissionQueue<>();
        ordered.offer(new WaitingRequest<>("late", "a", 2, 1, 1, 900, 900), 0, Bounds.ROUTER, 0);
        ordered.offer(new WaitingRequest<>("early", "a", 2, 1, 1, 600, 600), 0, Bounds.ROUTER, 0);
        assertEquals(ordered.poll(1, 0), List.of("early"));
    }

    /** The customer of the newcomer, and what a queue with 63 requests of "a" and one of "b" does with it. */
    @DataProvider
    public Object[][] newcomers() {
        return new Object[][] {{"a", Decision.REFUSE, 0}, {"b", Decision.WAIT, 1}, {"c", Decision.WAIT, 1}};
    }

    /** Guards against a queue that one customer fills for all others. */
    @Test(dataProvider = "newcomers")
    public void fullQueueRefusesTheCustomerWithMostWaiting(String customer, Decision expected, int displaced) {
        AdmissionQueue<String> full = new AdmissionQueue<>();
        IntStream.range(0, 63).forEach(i -> offer(full, "a" + i, "a"));
        offer(full, "b", "b");
        AdmissionQueue.Offer<String> offer = full.offer(request("new", customer, 1), 0, Bounds.ROUTER, 0);
        assertEquals(offer.decision(), expected);
        assertEquals(offer.displaced().size(), displaced);
        assertTrue(offer.displaced().stream().allMatch(r -> r.customer().equals("a")));
        assertEquals(full.size(), 64);
    }

    /** Guards against bodies that take the memory of a small host. */
    @Test
    public void boundsTheBytes() {
        AdmissionQueue<String> bodies = new AdmissionQueue<>();
        Bounds bounds = new Bounds(64, 1_000);
        assertEquals(bodies.offer(request("a0", "a", 600), 0, bounds, 0).decision(), Decision.WAIT);
        assertEquals(bodies.offer(request("a1", "a", 600), 0, bounds, 0).decision(), Decision.REFUSE);
        assertEquals(bodies.offer(request("b0", "b", 1_001), 0, bounds, 0).decision(), Decision.REFUSE);
        assertEquals(bodies.bytes(), 600);
    }

    /** Guards against requests that are held although they cannot be on time or have waited for too long. */
    @Test
    public void boundsTheWait() {
        AdmissionQueue<String> queue = new AdmissionQueue<>();
        assertEquals(offer(queue, "a", "a"), Decision.WAIT);
        assertEquals(queue.expired(WAIT_UNTIL - 1).size(), 0);
        assertEquals(queue.expired(WAIT_UNTIL).size(), 1);
        assertEquals(
                queue.offer(request("late", "a", 1), 0, Bounds.ROUTER, LATEST_START)
                        .decision(),
                Decision.REFUSE);
        assertEquals(
                queue.offer(request("late", "a", 1), 1, Bounds.ROUTER, LATEST_START)
                        .decision(),
                Decision.SEND);
    }
}
