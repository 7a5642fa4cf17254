package org.hornbeamhead.core.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.hornbeamhead.core.placement.ReplicaRing;

/**
 * Resolves the entry hosts for a caller. The same customer and hint lead to the same router, which then knows best
 * where that dossier is cached.
 */
public final class EntryDirectory {
    private static final int MAX_ADDRESSES = 3;

    private final Duration ttl;
    private ReplicaRing ring = ReplicaRing.of(List.of());

    /**
     * Creates a directory without hosts.
     *
     * @param ttl how long an answer may be cached
     */
    public EntryDirectory(Duration ttl) {
        this.ttl = ttl;
    }

    /**
     * Replaces the set of routers that serve.
     *
     * @param addresses their addresses for callers
     */
    public void updateRouters(Collection<String> addresses) {
        ring = ring.withReplicas(addresses);
    }

    /**
     * Returns the entry hosts for a customer and a hint.
     *
     * @param customer the customer's name
     * @param hint the caller's hint for the dossier; may be empty
     * @return up to three addresses and how long they may be cached
     */
    public EntryAnswer resolve(String customer, String hint) {
        byte[] key = (customer + '\0' + hint).getBytes(StandardCharsets.UTF_8);
        return new EntryAnswer(ring.walk(LongHashFunction.xx3().hashBytes(key), MAX_ADDRESSES), ttl);
    }
}
