package org.hornbeamhead.core.placement;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;
import org.hornbeamhead.core.endpoint.Endpoint;

/**
 * Selects the replicas of a pool that the routers of one data centre use. The selection is a pure function, so that all
 * these routers use the same replicas.
 *
 * <p>In a small pool all replicas are used, in whichever data centre they run. In a large pool the replicas in the
 * routers' own data centre are used; if these are few, others are added from the hash ring. The state that a router
 * keeps and the load reports that it requests therefore do not grow with the fleet.
 */
public final class ReplicaSubset {
    /** The number of replicas of a larger pool that are used if the routers' own data centre has fewer. */
    public static final int MIN_SIZE = 64;

    private ReplicaSubset() {}

    /**
     * Selects the replicas.
     *
     * @param listed the pool's endpoints in all data centres
     * @param dataCentre the routers' data centre
     * @return the endpoints to use, in the given order
     */
    public static List<Endpoint> select(List<Endpoint> listed, String dataCentre) {
        if (listed.size() <= MIN_SIZE) {
            return listed;
        }
        List<Endpoint> local =
                listed.stream().filter(e -> e.dataCentre().equals(dataCentre)).toList();
        if (local.size() >= MIN_SIZE) {
            return local;
        }
        long key = LongHashFunction.xx3().hashBytes(dataCentre.getBytes(StandardCharsets.UTF_8));
        ReplicaRing remoteRing = ReplicaRing.of(listed.stream()
                .filter(e -> !e.dataCentre().equals(dataCentre))
                .map(Endpoint::address)
                .toList());
        Set<String> selectedRemote = Set.copyOf(remoteRing.walk(key, MIN_SIZE - local.size()));
        return listed.stream()
                .filter(e -> e.dataCentre().equals(dataCentre) || selectedRemote.contains(e.address()))
                .toList();
    }
}
