package org.hornbeamhead.fuzz;

/** What Jazzer calls with each input, by its convention; {@code hornbeam.fuzz.target} names the target. */
public final class JazzerTarget {
    private static final FuzzTarget TARGET = FuzzTargets.ALL.stream()
            .filter(t -> t.name().equals(System.getProperty("hornbeam.fuzz.target")))
            .findFirst()
            .orElseThrow(() -> new IllegalArgumentException("hornbeam.fuzz.target is none of " + FuzzTargets.ALL));

    private JazzerTarget() {}

    /** Reads one input. */
    public static void fuzzerTestOneInput(byte[] input) {
        TARGET.reader().accept(input);
    }
}
