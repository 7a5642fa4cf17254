package org.hornbeamhead.core.entry;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the few routers that read the store; the others wait at them for what changed.
 *
 * <p>Answers the load of a fleet in which replicas renew their entries all the time. Failure: every router reads every
 * renewal. Symptom: the work of each router grows with the replicas, the calls of all grow with the routers, and to
 * bear that they pause so long between two reads that a new version is heard a second late. A fixed number of readers
 * keeps all three as they are at any size.
 *
 * <p>All routers find the same readers from the same list of routers, without agreement. While their lists differ, a
 * router asks one that is no reader, which says so.
 */
public final class StoreReaders {
    /** Two may be lost at once, and most routers still have a second one to turn to. */
    private static final int READERS = 4;
    /** Reading takes some hundredths of a core, which a host much smaller than the largest needs for itself. */
    private static final double ALIKE_PART = 0.5;

    /**
     * A listed router.
     *
     * @param node its name
     * @param dataCentre where it stands
     * @param capacity the requests a second that its host bears
     */
    public record Candidate(String node, String dataCentre, double capacity) {}

    private StoreReaders() {}

    /**
     * Chooses the readers.
     *
     * @param routers all listed routers
     * @return the readers, in different data centres as far as possible
     */
    public static List<Candidate> choose(Collection<Candidate> routers) {
        double largest = routers.stream().mapToDouble(Candidate::capacity).max().orElse(0);
        List<Candidate> alike = routers.stream()
                .filter(r -> r.capacity() >= largest * ALIKE_PART)
                .toList();
        List<Candidate> first = DataCentreTurns.order(alike, Candidate::node, Candidate::dataCentre);
        return first.stream().limit(READERS).toList();
    }

    /**
     * Puts the readers into the order in which a router turns to them: first those of its data centre, since what goes
     * between data centres is paid for, then in an order of its own, so that readers have equally many routers.
     *
     * @param readers the readers
     * @param node the router's name
     * @param dataCentre where it stands
     * @return the readers, the first choice first
     */
    public static List<Candidate> orderFor(List<Candidate> readers, String node, String dataCentre) {
        return readers.stream()
                .sorted(Comparator.comparing((Candidate r) -> !r.dataCentre().equals(dataCentre))
                        .thenComparingLong(r -> DataCentreTurns.hash(node + ' ' + r.node())))
                .toList();
    }
}
