package org.hornbeamhead.core.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.hornbeamhead.core.placement.ReplicaRing;

/**
 * Answers which entry hosts to use. The same customer and hint meet the same router, so that one router knows best what
 * that dossier has cached where.
 */
public final class EntryDirectory {
    private static final int NAMED = 3;

    private final Duration ttl;
    private ReplicaRing ring = ReplicaRing.of(List.of());

    /**
     * Makes a directory without hosts.
     *
     * @param ttl how long an answer may be kept
     */
    public EntryDirectory(Duration ttl) {
        this.ttl = ttl;
    }

    /**
     * Takes over the routers that serve.
     *
     * @param addresses their addresses for callers
     */
    public void serving(Collection<String> addresses) {
        ring = ring.withReplicas(addresses);
    }

    /**
     * Answers.
     *
     * @param customer the customer's name
     * @param hint the caller's word for the dossier; may be empty
     * @return up to three addresses and how long they may be kept
     */
    public EntryAnswer answer(String customer, String hint) {
        byte[] key = (customer + '\0' + hint).getBytes(StandardCharsets.UTF_8);
        return new EntryAnswer(ring.walk(LongHashFunction.xx3().hashBytes(key), NAMED), ttl);
    }
}
