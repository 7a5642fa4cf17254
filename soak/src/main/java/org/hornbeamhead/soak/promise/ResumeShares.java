package org.hornbeamhead.soak.promise;

import org.hornbeamhead.soak.history.History;

/**
 * How many streams began and went on at undisturbed routers, and how often they were resumed at disturbed ones.
 *
 * @param asked new streams that callers asked for
 * @param begun those that began
 * @param resumed streams that callers resumed while two replicas of their software served
 * @param goneOn those that went on
 * @param atDisturbed parts of streams that callers resumed at disturbed routers
 * @param goneOnAtDisturbed those that went on
 */
public record ResumeShares(int asked, int begun, int resumed, int goneOn, int atDisturbed, int goneOnAtDisturbed) {
    /**
     * Counts the streams of a run.
     *
     * @param history what was seen
     * @return the numbers
     */
    public static ResumeShares of(History history) {
        return ResumeChecks.shares(history);
    }

    double begunShare() {
        return (double) begun / Math.max(1, asked);
    }

    double resumedShare() {
        return (double) goneOn / Math.max(1, resumed);
    }

    @Override
    public String toString() {
        return goneOn + " of " + resumed + " resumed streams went on, " + begun + " of " + asked + " new ones began; "
                + goneOnAtDisturbed + " of " + atDisturbed + " resumed at disturbed routers went on";
    }
}
