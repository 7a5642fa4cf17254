package org.hornbeamhead.core.entry;

import java.time.Duration;
import java.util.List;

/**
 * Which entry hosts a caller should use.
 *
 * @param addresses the addresses, best first
 * @param ttl how long the answer may be kept
 */
public record EntryAnswer(List<String> addresses, Duration ttl) {
    /** Copies the addresses, so that the answer cannot change. */
    public EntryAnswer {
        addresses = List.copyOf(addresses);
    }
}
