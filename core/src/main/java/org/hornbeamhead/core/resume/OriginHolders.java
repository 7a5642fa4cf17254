package org.hornbeamhead.core.resume;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses the routers that keep the origin of a stream, by rendezvous hashing: whoever knows the stream and the list of
 * routers finds them, and a router that joins or leaves changes the choice for few streams.
 */
public final class OriginHolders {
    private OriginHolders() {}

    private record Ranked(long hash, String router) {}

    /**
     * Chooses routers.
     *
     * @param key the stream
     * @param routers the addresses of all routers
     * @param count how many to choose
     * @return the chosen routers, in the same order for everyone
     */
    public static List<String> choose(StreamKey key, Collection<String> routers, int count) {
        LongHashFunction hash = LongHashFunction.xx3(key.value());
        return routers.stream()
                .distinct()
                .map(r -> new Ranked(hash.hashBytes(r.getBytes(StandardCharsets.UTF_8)), r))
                .sorted(Comparator.comparingLong(Ranked::hash).thenComparing(Ranked::router))
                .limit(count)
                .map(Ranked::router)
                .toList();
    }
}
