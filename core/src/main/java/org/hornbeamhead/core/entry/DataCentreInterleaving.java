package org.hornbeamhead.core.entry;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.openhft.hashing.LongHashFunction;

/**
 * Orders hosts so that data centres alternate: one host of each, then the next of each. The loss of a data centre then
 * affects only its share of the first hosts. Every process that knows the same hosts computes the same order.
 */
final class DataCentreInterleaving {
    private DataCentreInterleaving() {}

    /**
     * Interleaves hosts by data centre.
     *
     * @param hosts the hosts
     * @param name returns a host's unique name
     * @param dataCentre returns a host's data centre
     * @param <H> the type of a host
     * @return the hosts in interleaved order
     */
    static <H> List<H> interleave(Collection<H> hosts, Function<H, String> name, Function<H, String> dataCentre) {
        record Ranked<H>(int round, H host) {}
        Comparator<H> byHash = Comparator.comparingLong(h -> hash(name.apply(h)));
        Map<String, List<H>> byDataCentre = hosts.stream().sorted(byHash).collect(Collectors.groupingBy(dataCentre));
        return byDataCentre.values().stream()
                .flatMap(members -> IntStream.range(0, members.size()).mapToObj(i -> new Ranked<>(i, members.get(i))))
                .sorted(Comparator.<Ranked<H>>comparingInt(Ranked::round).thenComparing(Ranked::host, byHash))
                .map(Ranked::host)
                .toList();
    }

    static long hash(String name) {
        return LongHashFunction.xx3().hashBytes(name.getBytes(StandardCharsets.UTF_8));
    }
}
