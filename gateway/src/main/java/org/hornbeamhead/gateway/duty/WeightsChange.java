package org.hornbeamhead.gateway.duty;

/** The change of one replica to a target version, as the leader tracks it. */
final class WeightsChange {
    final String model;
    final long version;
    /** Whether routers have had the time to receive the announcement. */
    boolean announced;

    boolean ordered;
    /** How many orders in a row had no effect. */
    int lostOrders;

    /** When the change was last ordered, or when it was selected if it has not been ordered. */
    long orderedAt;

    long reportRequestedAt;
    /**
     * Whether a report is being fetched. A second request at the same time would cost twice as much, and the older
     * report might arrive last.
     */
    boolean reportPending;

    boolean unresponsive;

    WeightsChange(String model, long version, long orderedAt) {
        this.model = model;
        this.version = version;
        this.orderedAt = orderedAt;
    }

    /** Returns the same change, not ordered yet, to a newer version. */
    WeightsChange retarget(long newer) {
        WeightsChange change = new WeightsChange(model, newer, orderedAt);
        change.announced = announced;
        change.reportRequestedAt = reportRequestedAt;
        change.unresponsive = unresponsive;
        return change;
    }
}
