package org.hornbeamhead.bench;

import java.util.List;
import java.util.stream.IntStream;
import org.hornbeamhead.core.config.ConfigDocument;
import org.hornbeamhead.core.config.OperatorsConfigReader;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.core.placement.PlacementChoice;
import org.hornbeamhead.core.placement.PlacementReason;
import org.hornbeamhead.core.placement.PrefixPlacement;
import org.hornbeamhead.core.placement.ReplicaRing;
import org.hornbeamhead.core.placement.ReplicaTable;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.prefix.PrefixLevel;
import org.hornbeamhead.core.time.ManualClock;

/** The heap that a router's state takes, by its size, after full collections. */
final class MemoryBench {
    private static final int COLLECTIONS = 3;
    private static final double KILO = 1_000;

    private MemoryBench() {}

    /** Measures replicas with a number of believed prompts each. */
    static String replicas(int replicas, int promptsEach) {
        long before = used();
        ManualClock clock = new ManualClock(0);
        ReplicaTable table = new ReplicaTable(clock);
        table.setEndpoints(IntStream.range(0, replicas)
                .mapToObj(i -> new Endpoint(EndpointKind.ENGINE, "p", "10.1.2.3:" + i, "", "dc-1", false))
                .toList());
        table.replicas().forEach(r -> {
            table.applyReport(
                    r.address(), new LoadReport("incarnation-" + r.address(), "v1", "model", "weights", 0, 0, false));
            for (int i = 0; i < promptsEach; i++) {
                long key = ReplicaRing.mix(r.address().hashCode(), i);
                PrefixChain chain = new PrefixChain(List.of(new PrefixLevel(key, 10)));
                PlacementChoice choice = PrefixPlacement.predict(r, chain, 0, PlacementReason.LEAST_RECOMPUTED);
                table.recordDispatch(chain, choice);
            }
        });
        long after = used();
        int kept = table.replicas().stream()
                .mapToInt(r -> r.cachedPrefixes().size())
                .sum();
        return String.format("| %d | %d | %d | %.0f |", replicas, promptsEach, kept, (after - before) / KILO);
    }

    /** Measures the operators' configuration. */
    static String config(int customers) {
        StringBuilder text = new StringBuilder("[fleet]\nname = f\n[class a]\nkind = interactive\nfirst-token = 1 s\n"
                + "[pool p]\nkind = engine\nmodel = m\nweights = w\n");
        for (int i = 0; i < customers; i++) {
            text.append(String.format("[customer c%d]\nkey-sha256 = %064x\nclasses = a\npools = p\n", i, i));
        }
        long before = used();
        long start = System.nanoTime();
        Object config = OperatorsConfigReader.read("f", text.toString()).get();
        double millis = (System.nanoTime() - start) / 1e6;
        ConfigDocument document = ConfigDocument.of(text.toString());
        long after = used();
        String row = String.format(
                "| %d | %.0f | %.0f | %.1f |", customers, text.length() / KILO, (after - before) / KILO, millis);
        if (config.hashCode() == document.hashCode()) {
            throw new IllegalStateException("both are kept alive until here");
        }
        return row;
    }

    private static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
