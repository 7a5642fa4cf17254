package org.hornbeamhead.standin.load;

import java.time.Duration;
import java.util.List;

/**
 * How a load is sent.
 *
 * @param entries entry hosts to ask for addresses
 * @param duration how long requests are sent
 * @param ratePerSecond requests a second
 * @param seed decides all draws
 * @param liveMillis how long an unused prefix counts as live for the lower bound, in milliseconds
 * @param json whether to print JSON
 */
public record LoadOptions(
        List<String> entries, Duration duration, double ratePerSecond, long seed, long liveMillis, boolean json) {
    /** Copies the addresses, so that the options cannot change. */
    public LoadOptions {
        entries = List.copyOf(entries);
    }
}
