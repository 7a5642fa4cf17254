package org.hornbeamhead.router;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** The latest times to the first token of each class, to be held against its target. */
final class ClassHealth {
    private static final int KEPT = 512;
    private static final double QUANTILE = 0.95;

    private static final class Samples {
        private final double[] millis = new double[KEPT];
        private int count;

        void add(double value) {
            millis[count++ % KEPT] = value;
        }

        double quantile() {
            double[] sorted = Arrays.copyOf(millis, Math.min(count, KEPT));
            Arrays.sort(sorted);
            return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, sorted.length * QUANTILE)];
        }
    }

    private final Map<String, Samples> byClass = new TreeMap<>();

    void firstToken(String requestClass, double millis) {
        byClass.computeIfAbsent(requestClass, c -> new Samples()).add(millis);
    }

    /** Gives the 95th percentile of the latest times, in milliseconds; 0 before the first. */
    double firstTokenMillis(String requestClass) {
        Samples samples = byClass.get(requestClass);
        return samples == null ? 0 : samples.quantile();
    }
}
