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
 * Orders hosts so that data centres take turns: one host of each, then the next of each. A lost data centre then takes
 * its part of any first few and no more. Every process that knows the same hosts finds the same order.
 */
final class DataCentreTurns {
    private DataCentreTurns() {}

    /**
     * Orders hosts.
     *
     * @param hosts the hosts
     * @param name what tells hosts apart
     * @param dataCentre where a host stands
     * @param <H> a host
     * @return the hosts in the order of turns
     */
    static <H> List<H> order(Collection<H> hosts, Function<H, String> name, Function<H, String> dataCentre) {
        record Placed<H>(int turn, H host) {}
        Comparator<H> byHash = Comparator.comparingLong(h -> hash(name.apply(h)));
        Map<String, List<H>> byDataCentre = hosts.stream().sorted(byHash).collect(Collectors.groupingBy(dataCentre));
        return byDataCentre.values().stream()
                .flatMap(there -> IntStream.range(0, there.size()).mapToObj(i -> new Placed<>(i, there.get(i))))
                .sorted(Comparator.<Placed<H>>comparingInt(Placed::turn).thenComparing(Placed::host, byHash))
                .map(Placed::host)
                .toList();
    }

    static long hash(String name) {
        return LongHashFunction.xx3().hashBytes(name.getBytes(StandardCharsets.UTF_8));
    }
}
