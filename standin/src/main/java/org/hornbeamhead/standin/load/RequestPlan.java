package org.hornbeamhead.standin.load;

import java.util.List;
import java.util.SplittableRandom;

/** Draws the requests of a workload. The same seed gives the same requests. */
public final class RequestPlan {
    private static final double SKEW = 1.1;

    private final Workload workload;
    private final SplittableRandom random;
    private int next;

    /**
     * Makes a plan.
     *
     * @param workload the shape
     * @param seed decides all draws
     */
    public RequestPlan(Workload workload, long seed) {
        this.workload = workload;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Draws the next request.
     *
     * @param elapsedMillis the time since the load's start, which decides what is hot
     * @return the request
     */
    public PlannedRequest next(long elapsedMillis) {
        List<String> customers = workload.customers();
        String customer = customers.get(zipf(customers.size()));
        int shift = (int) (elapsedMillis / workload.shiftMillis());
        int dossier = zipf(workload.dossiers()) + shift * workload.dossiers() / 4;
        return new PlannedRequest(
                customer, drawClass(), dossier, next++, random.nextDouble() < workload.serviceShare());
    }

    private WorkClass drawClass() {
        double left = random.nextDouble();
        for (WorkClass c : workload.classes()) {
            left -= c.share();
            if (left < 0) {
                return c;
            }
        }
        return workload.classes().get(0);
    }

    /**
     * Draws the pause before the next request.
     *
     * @param ratePerSecond requests a second
     * @return milliseconds, exponentially distributed
     */
    public double pauseMillis(double ratePerSecond) {
        return -Math.log(1 - random.nextDouble()) * 1000 / ratePerSecond;
    }

    private int zipf(int n) {
        double sum = 0;
        for (int i = 1; i <= n; i++) {
            sum += Math.pow(i, -SKEW);
        }
        double left = random.nextDouble() * sum;
        for (int i = 1; i <= n; i++) {
            left -= Math.pow(i, -SKEW);
            if (left < 0) {
                return i - 1;
            }
        }
        return n - 1;
    }
}
