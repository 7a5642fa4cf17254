package org.hornbeamhead.soak;

/** The time of a run. */
final class Stopwatch {
    private final long start = System.nanoTime();

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }
}
