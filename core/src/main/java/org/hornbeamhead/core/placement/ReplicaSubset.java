package org.hornbeamhead.core.placement;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;
import org.hornbeamhead.core.endpoint.Endpoint;

/**
 * Which replicas of a pool the routers of one data centre use. A pure function, so that they all use the same.
 *
 * <p>Of a small pool all are used, wherever they stand. Of a large one, those in the routers' own data centre are used,
 * and where these are few, more are taken off the ring, so that what a router keeps and asks does not grow with the
 * fleet.
 */
public final class ReplicaSubset {
    /** The most replicas of a pool that are used when the own data centre has fewer. */
    public static final int ENOUGH = 64;

    private ReplicaSubset() {}

    /**
     * Chooses.
     *
     * @param listed the pool's endpoints in all data centres
     * @param dataCentre the routers' data centre
     * @return those to use, in the order given
     */
    public static List<Endpoint> choose(List<Endpoint> listed, String dataCentre) {
        if (listed.size() <= ENOUGH) {
            return listed;
        }
        List<Endpoint> near =
                listed.stream().filter(e -> e.dataCentre().equals(dataCentre)).toList();
        if (near.size() >= ENOUGH) {
            return near;
        }
        long key = LongHashFunction.xx3().hashBytes(dataCentre.getBytes(StandardCharsets.UTF_8));
        ReplicaRing far = ReplicaRing.of(listed.stream()
                .filter(e -> !e.dataCentre().equals(dataCentre))
                .map(Endpoint::address)
                .toList());
        Set<String> more = Set.copyOf(far.walk(key, ENOUGH - near.size()));
        return listed.stream()
                .filter(e -> e.dataCentre().equals(dataCentre) || more.contains(e.address()))
                .toList();
    }
}
