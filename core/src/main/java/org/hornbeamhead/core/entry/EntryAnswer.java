package org.hornbeamhead.core.entry;

import java.time.Duration;
import java.util.List;

/**
 * The entry hosts that a caller should use.
 *
 * @param addresses the addresses, best first
 * @param ttl how long the answer may be cached
 */
public record EntryAnswer(List<String> addresses, Duration ttl) {
    /** Copies the addresses, so that the answer is immutable. */
    public EntryAnswer {
        addresses = List.copyOf(addresses);
    }
}
