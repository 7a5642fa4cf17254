package org.hornbeamhead.gateway.caller;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * The bytes of the requests that have not arrived completely. Anyone may send such bytes, so they are bounded over all
 * connections: beyond the bound, the longest incomplete request is rejected. A single one is bounded by the limits for
 * callers.
 */
final class IncompleteRequests {
    /** An eighth of the heap of a router. Buffers that grow by doubling may take twice as much. */
    private static final long MAX_BYTES = 8 << 20;

    private final Map<CallerConnection, Integer> bytesOf = new HashMap<>();
    private long bytes;

    /** Records how much of a request has arrived; zero when it is complete. Callers are compared by identity. */
    void update(CallerConnection connection, int pendingBytes) {
        remove(connection);
        if (pendingBytes > 0) {
            bytesOf.put(connection, pendingBytes);
            bytes += pendingBytes;
        }
        if (bytes > MAX_BYTES && bytesOf.size() > 1) {
            bytesOf.entrySet().stream()
                    .max(Comparator.comparingInt(Map.Entry::getValue))
                    .map(Map.Entry::getKey)
                    .ifPresent(longest -> {
                        remove(longest);
                        longest.rejectIncomplete();
                    });
        }
    }

    void remove(CallerConnection connection) {
        Integer removed = bytesOf.remove(connection);
        bytes -= removed == null ? 0 : removed;
    }
}
