package org.hornbeamhead.core.quota;

/**
 * One router's view of the bucket of one customer. What the router admits itself is subtracted at once, and what other
 * routers admit when they tell of it.
 *
 * <p>While some routers are out of contact, the bucket fills at this router's share of the rate only; the rest is set
 * aside for them. What they turn out to have admitted meanwhile is paid from what was set aside, so that customers
 * within their quota are not refused after routers find each other again.
 *
 * <p>Not thread-safe.
 */
final class QuotaAccount {
    private static final double MILLIS_PER_SECOND = 1_000;
    /** Bound of what is set aside, as the time in which the rate supplies it; longer outages are forgiven in part. */
    private static final double MAX_SET_ASIDE_SECONDS = 60;
    /** The latest booked return; callers that are told to wait longer give up. */
    private static final double MAX_BOOKED_MILLIS = 30_000;
    /**
     * After full contact for this long, all routers have told what they admitted while out of contact; what is left of
     * the part that was set aside for them was not used.
     */
    private static final long SETTLED_MILLIS = 700;

    private QuotaLimit limit;
    private double level;
    private double share;
    private double setAside;
    private long updatedMillis;
    private long lastPartialMillis;
    private long lastUseMillis;
    private long returnsBookedUntilMillis;
    private long admittedUnits;
    private boolean provisional;

    QuotaAccount(QuotaLimit limit, double share, boolean provisional, long nowMillis) {
        this.limit = limit;
        this.share = share;
        this.provisional = provisional;
        this.updatedMillis = nowMillis;
        this.lastPartialMillis = nowMillis;
        this.lastUseMillis = nowMillis;
        this.level = capacity();
    }

    /** Returns an account with the same state, which can be evaluated without changing this one. */
    QuotaAccount copy() {
        QuotaAccount copy = new QuotaAccount(limit, share, provisional, updatedMillis);
        copy.level = level;
        copy.setAside = setAside;
        copy.lastPartialMillis = lastPartialMillis;
        copy.lastUseMillis = lastUseMillis;
        copy.returnsBookedUntilMillis = returnsBookedUntilMillis;
        copy.admittedUnits = admittedUnits;
        return copy;
    }

    /** Brings the level to the present time, with the share that applies from now on. */
    void update(double newShare, boolean informed, long nowMillis) {
        update(limit, newShare, informed, nowMillis);
    }

    /**
     * Brings the level to the present time, with the limit and share that apply from now on.
     *
     * @param informed whether the router knows what other routers have admitted, as far as anyone does
     */
    void update(QuotaLimit newLimit, double newShare, boolean informed, long nowMillis) {
        double seconds = Math.max(0, nowMillis - updatedMillis) / MILLIS_PER_SECOND;
        updatedMillis = Math.max(updatedMillis, nowMillis);
        level += limit.ratePerSecond() * share * seconds;
        setAside += limit.ratePerSecond() * (1 - share) * seconds;
        if (provisional && newShare > share) {
            // The whole fleet starts anew; a router that finds others takes over their parts of the bucket.
            level += limit.burst() * (newShare - share);
        }
        provisional &= !informed;
        limit = newLimit;
        share = newShare;
        if (share < 1) {
            lastPartialMillis = nowMillis;
        }
        limitToCapacity();
        setAside = Math.min(setAside, limit.ratePerSecond() * MAX_SET_ASIDE_SECONDS);
        if (nowMillis - lastPartialMillis > SETTLED_MILLIS) {
            level = Math.min(capacity(), level + setAside);
            setAside = 0;
        }
    }

    /**
     * Books the time at which a caller that was refused may return. Callers return one after the other, as fast as this
     * router's part of the rate admits them; those that were refused together would otherwise return together.
     *
     * @param cost what the request counts
     * @param part the part of the customer's requests that come to this router
     * @return the time until the return, in milliseconds
     */
    double bookReturnMillis(long cost, double part, long nowMillis) {
        double coveredAt = nowMillis + millisUntilCovered(cost);
        double returnAt = Math.max(coveredAt, (double) returnsBookedUntilMillis);
        double costMillis = cost / (limit.ratePerSecond() * share * part) * MILLIS_PER_SECOND;
        returnsBookedUntilMillis = (long) Math.min(returnAt + costMillis, nowMillis + MAX_BOOKED_MILLIS);
        return returnAt - nowMillis;
    }

    private void limitToCapacity() {
        if (level > capacity()) {
            setAside += level - capacity();
            level = capacity();
            returnsBookedUntilMillis = 0;
        }
    }

    private double capacity() {
        return limit.burst() * share;
    }

    /**
     * Returns whether the bucket has enough for a request. A request that is larger than the bucket needs a full one;
     * it could never be served otherwise.
     */
    boolean covers(long cost) {
        return level >= Math.min((double) cost, capacity());
    }

    void admit(long cost, long nowMillis) {
        level -= cost;
        admittedUnits += cost;
        lastUseMillis = nowMillis;
    }

    /** Takes back the cost of a request that no replica has run. */
    void giveBack(long cost) {
        level += cost;
        admittedUnits -= cost;
        limitToCapacity();
    }

    /**
     * Pays what another router admitted while it was out of contact from what was set aside.
     *
     * @return the rest, in units
     */
    double payFromSetAside(double units) {
        double paid = Math.max(0, Math.min(units, setAside));
        setAside -= paid;
        return units - paid;
    }

    /** Subtracts what another router admitted since it last told of it; negative if it gave back more. */
    void recordPeerUse(double units, long nowMillis) {
        level -= units;
        lastUseMillis = nowMillis;
        limitToCapacity();
    }

    /** Takes over what a router that knew the bucket before this one says is missing in it. */
    void adoptMissing(double peerMissing) {
        double peerLevel = capacity() - Math.max(0, peerMissing);
        level = provisional ? peerLevel : Math.min(level, peerLevel);
        provisional = false;
    }

    /** Returns the time until the bucket has enough for a request, if nothing else is admitted, in milliseconds. */
    private double millisUntilCovered(long cost) {
        double missing = Math.min((double) cost, capacity()) - level;
        return Math.max(0, missing) / (limit.ratePerSecond() * share) * MILLIS_PER_SECOND;
    }

    double level() {
        return level;
    }

    /** Returns what is missing until the bucket is full; it means the same whatever part of it a router may use. */
    double missingUnits() {
        return capacity() - level;
    }

    double burst() {
        return limit.burst();
    }

    /** Returns the units admitted by this router since its start, without those given back. */
    long admittedUnits() {
        return admittedUnits;
    }

    long lastUseMillis() {
        return lastUseMillis;
    }
}
