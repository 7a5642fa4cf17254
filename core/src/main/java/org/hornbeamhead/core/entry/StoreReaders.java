package org.hornbeamhead.core.entry;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the few routers that read the store; the others receive changes from them.
 *
 * <p>Replicas renew their entries all the time. If every router read every renewal, the work of each router would grow
 * with the replicas and the number of calls with the routers; to limit both, routers would pause so long between two
 * reads that a new version is noticed a second late. A fixed number of readers keeps all three constant at any size.
 *
 * <p>All routers compute the same readers from the same list of routers, without coordination. While their lists
 * differ, a router may ask one that is not a reader, which then tells it so.
 */
public final class StoreReaders {
    /** Two may be lost at once, and most routers still have a second one to use. */
    private static final int READERS = 4;
    /**
     * Reading takes some hundredths of a core, which a host much smaller than the largest needs for its own requests.
     */
    private static final double COMPARABLE_SHARE = 0.5;

    /**
     * A listed router.
     *
     * @param node its name
     * @param dataCentre its data centre
     * @param capacity the requests a second that its host can take
     */
    public record Candidate(String node, String dataCentre, double capacity) {}

    private StoreReaders() {}

    /**
     * Selects the readers.
     *
     * @param routers all listed routers
     * @return the readers, in different data centres as far as possible
     */
    public static List<Candidate> choose(Collection<Candidate> routers) {
        double largest = routers.stream().mapToDouble(Candidate::capacity).max().orElse(0);
        List<Candidate> comparable = routers.stream()
                .filter(r -> r.capacity() >= largest * COMPARABLE_SHARE)
                .toList();
        List<Candidate> ordered = DataCentreInterleaving.interleave(comparable, Candidate::node, Candidate::dataCentre);
        return ordered.stream().limit(READERS).toList();
    }

    /**
     * Orders the readers for a router: first those in its own data centre, since traffic between data centres is
     * charged, then by a hash that differs between routers, so that the routers are distributed evenly over the
     * readers.
     *
     * @param readers the readers
     * @param node the router's name
     * @param dataCentre the router's data centre
     * @return the readers, the first choice first
     */
    public static List<Candidate> orderFor(List<Candidate> readers, String node, String dataCentre) {
        return readers.stream()
                .sorted(Comparator.comparing((Candidate r) -> !r.dataCentre().equals(dataCentre))
                        .thenComparingLong(r -> DataCentreInterleaving.hash(node + ' ' + r.node())))
                .toList();
    }
}
