package org.hornbeamhead.gateway.duty;

/** One replica's change to a named version, as the holder of the duty follows it. */
final class WeightsChange {
    final String model;
    final long version;
    /** Routers have had the time to hear of it. */
    boolean noticed;

    boolean asked;
    /** When it was chosen, or ordered last. */
    long at;

    long reportedAt;
    /** A question is under way; another one beside it would cost twice, and the older answer might come last. */
    boolean asking;

    boolean silent;

    WeightsChange(String model, long version, long at) {
        this.model = model;
        this.version = version;
        this.at = at;
    }

    /** The same change, not ordered yet, to a version that was named since. */
    WeightsChange towards(long newer) {
        WeightsChange change = new WeightsChange(model, newer, at);
        change.noticed = noticed;
        change.reportedAt = reportedAt;
        change.silent = silent;
        return change;
    }
}
