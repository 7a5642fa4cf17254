package org.hornbeamhead.core.shortage;

import java.util.List;
import java.util.function.Predicate;

/**
 * Decides on the requests of one service with deferrable routes. Owned by one thread.
 *
 * @param <T> the type of a request
 */
public final class ServiceAdmission<T> {
    private final AdmissionQueue<T> queue = new AdmissionQueue<>();
    private final ReturnSchedule returns = new ReturnSchedule();
    private final ServedShares shares = new ServedShares();

    /**
     * Returns the room for deferrable requests.
     *
     * @param fleetPerSecond the requests of all routers, per second
     * @param urgentTargetMillis the shortest latency target of urgent requests, in milliseconds
     * @param nowMillis the monotonic time
     * @return the room, with a reserve for the urgent share of the requests
     */
    public EngineRoom room(double fleetPerSecond, long urgentTargetMillis, long nowMillis) {
        return new EngineRoom(fleetPerSecond * shares.urgentShare(nowMillis), urgentTargetMillis);
    }

    /**
     * Records a new request, urgent or deferrable.
     *
     * @param deferrable whether it is deferrable
     * @param nowMillis the monotonic time
     */
    public void recordArrival(boolean deferrable, long nowMillis) {
        shares.recordArrival(deferrable, nowMillis);
    }

    /**
     * Records that a new request was sent to an engine.
     *
     * @param deferrable whether it is deferrable
     * @param nowMillis the monotonic time
     */
    public void recordSent(boolean deferrable, long nowMillis) {
        shares.recordSent(deferrable, nowMillis);
        returns.recordSent(nowMillis);
    }

    /**
     * Returns whether deferrable requests were served so rarely that one may be sent without room.
     *
     * @param nowMillis the monotonic time
     * @return true if one may be sent
     */
    public boolean isDeferrableOwed(long nowMillis) {
        return shares.isDeferrableOwed(nowMillis);
    }

    /**
     * Offers a deferrable request.
     *
     * @param request the request
     * @param room the number of requests that the engines have room for
     * @param bounds the bounds of the queue
     * @param nowMillis the monotonic time
     * @return the decision
     */
    public AdmissionQueue.Offer<T> offer(
            WaitingRequest<T> request, int room, AdmissionQueue.Bounds bounds, long nowMillis) {
        return queue.offer(request, atLeastOwed(room, nowMillis), bounds, nowMillis);
    }

    /**
     * Takes the requests that are sent now out of the queue.
     *
     * @param room the number of requests that the engines have room for
     * @param nowMillis the monotonic time
     * @return the requests, in their order
     */
    public List<T> poll(int room, long nowMillis) {
        return queue.poll(atLeastOwed(room, nowMillis), nowMillis);
    }

    private int atLeastOwed(int room, long nowMillis) {
        return room <= 0 && isDeferrableOwed(nowMillis) ? 1 : room;
    }

    /**
     * Takes the requests out of the queue that are not worth waiting for any more.
     *
     * @param nowMillis the monotonic time
     * @return the requests, which are refused
     */
    public List<WaitingRequest<T>> expired(long nowMillis) {
        return queue.expired(nowMillis);
    }

    /**
     * Takes requests out of the queue.
     *
     * @param condition selects them
     * @return the requests
     */
    public List<WaitingRequest<T>> removeAll(Predicate<WaitingRequest<T>> condition) {
        return queue.removeAll(condition);
    }

    /**
     * Books the return of a refused caller.
     *
     * @param priority its priority, 0 is the highest
     * @param timeLeftMillis how long the caller waits, in milliseconds
     * @param nowMillis the monotonic time
     * @return the delay, in milliseconds
     */
    public long bookReturnMillis(int priority, long timeLeftMillis, long nowMillis) {
        return returns.bookReturnMillis(priority, timeLeftMillis, nowMillis);
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    public int waiting() {
        return queue.size();
    }

    /**
     * Returns the size of the bodies of waiting requests.
     *
     * @return bytes
     */
    public long waitingBytes() {
        return queue.bytes();
    }
}
