package org.hornbeamhead.bench;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.core.entry.EntryDirectory;
import org.hornbeamhead.core.placement.PlacementChoice;
import org.hornbeamhead.core.placement.PlacementTarget;
import org.hornbeamhead.core.placement.PrefixPlacement;
import org.hornbeamhead.core.placement.ReplicaRing;
import org.hornbeamhead.core.placement.ReplicaTable;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.prefix.PrefixHasher;
import org.hornbeamhead.core.prefix.PrefixLevel;
import org.hornbeamhead.core.prefix.PrefixSeed;
import org.hornbeamhead.core.time.ManualClock;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The cost of one decision by the size of the pool. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class PlacementBenchmark {
    private static final int HOUSES = 470;
    private static final PlacementTarget TARGET = new PlacementTarget(460, false);

    /** Replicas in the pool, or routers in the fleet. */
    @Param({"8", "64", "512", "1375", "11000"})
    public int size;

    private final ManualClock clock = new ManualClock(0);
    private final PrefixPlacement placement = new PrefixPlacement();
    private final EntryDirectory entries = new EntryDirectory(Duration.ofSeconds(2));
    private ReplicaTable table;
    private List<Endpoint> endpoints;
    private List<String> addresses;
    private String prompt;
    private long next;

    /** Builds a pool in which each replica has reported. */
    @Setup
    public void setUp() {
        clock.advance(1_000_000);
        table = new ReplicaTable(clock);
        endpoints = IntStream.range(0, size)
                .mapToObj(i -> new Endpoint(EndpointKind.ENGINE, "p", "e" + i, "", "dc", false))
                .toList();
        table.setEndpoints(endpoints);
        IntStream.range(0, size)
                .forEach(i -> table.applyReport("e" + i, new LoadReport("i" + i, "v1", "m", "w", 0, 0, false)));
        addresses = endpoints.stream().map(Endpoint::address).toList();
        entries.updateRouters(addresses);
        placement.setRouterCount(1);
        prompt = "word ".repeat(3_600);
    }

    /**
     * Places a request of one of the houses, with a dossier of its own.
     *
     * @return the choice
     */
    @Benchmark
    public Optional<PlacementChoice> place() {
        next++;
        long house = ReplicaRing.mix(next % HOUSES, 1);
        PrefixChain chain = new PrefixChain(
                List.of(new PrefixLevel(house, 1_500), new PrefixLevel(ReplicaRing.mix(next, 2), 4_500)));
        if (next % 64 == 0) {
            clock.advance(1);
        }
        return placement.choose(table, chain, TARGET, Set.of());
    }

    /**
     * Answers which entry hosts to use.
     *
     * @return the number of addresses named
     */
    @Benchmark
    public int answerEntry() {
        return entries.resolve("customer", Long.toString(next++)).addresses().size();
    }

    /**
     * Builds the ring anew, as a change of one replica does.
     *
     * @return its size
     */
    @Benchmark
    public int buildRing() {
        return ReplicaRing.of(addresses).size();
    }

    /**
     * Takes over a list of hosts in which nothing has changed.
     *
     * @return the ring's size
     */
    @Benchmark
    public int sameList() {
        table.setEndpoints(endpoints);
        return table.ring().size();
    }

    /**
     * Hashes a prompt of 4,500 tokens.
     *
     * @return its chain
     */
    @Benchmark
    public PrefixChain hashPrompt() {
        return PrefixHasher.chat(new PrefixSeed("c", "m", "w", ""), List.of(prompt, "question"));
    }
}
