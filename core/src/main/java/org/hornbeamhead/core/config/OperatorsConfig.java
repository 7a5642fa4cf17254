package org.hornbeamhead.core.config;

import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What the operators state: classes with their targets, customers, and pools with what they serve. No weights and no
 * addresses.
 *
 * @param fleet the fleet's name
 * @param zone the time zone of the hours by which batches must finish
 * @param classes by name
 * @param pools by name
 * @param customers by name
 */
public record OperatorsConfig(
        String fleet,
        ZoneId zone,
        Map<String, RequestClass> classes,
        Map<String, Pool> pools,
        Map<String, Customer> customers) {
    /** Before the first configuration: nothing is served. */
    public static final OperatorsConfig EMPTY = new OperatorsConfig("", ZoneOffset.UTC, Map.of(), Map.of(), Map.of());

    private static final double NO_TARGET_MILLIS = 1_000;

    /** Copies the maps, so that the configuration cannot change. */
    public OperatorsConfig {
        classes = Map.copyOf(classes);
        pools = Map.copyOf(pools);
        customers = Map.copyOf(customers);
    }

    /**
     * Finds the customer that a key belongs to.
     *
     * @param keySha256 the SHA-256 of the key, in lower-case hexadecimal digits
     * @return the customer
     */
    public Optional<Customer> customerByKey(String keySha256) {
        return customers.values().stream()
                .filter(c -> c.keySha256().equals(keySha256))
                .findFirst();
    }

    /**
     * Finds the pool of engines that serves a model.
     *
     * @param model the model's name, or the pool's
     * @return the pool
     */
    public Optional<Pool> poolByModel(String model) {
        return pools.values().stream()
                .filter(p ->
                        p.isEngine() && (p.model().equals(model) || p.name().equals(model)))
                .findFirst();
    }

    /**
     * Gives the tightest target of the interactive classes.
     *
     * @return milliseconds to the first token; a second when no class is interactive
     */
    public double tightestFirstTokenMillis() {
        return classes.values().stream()
                .filter(c -> !c.batch())
                .mapToDouble(c -> c.firstToken().toMillis())
                .min()
                .orElse(NO_TARGET_MILLIS);
    }

    /**
     * Lists the customers' names in order.
     *
     * @return the names
     */
    public List<String> customerNames() {
        return customers.keySet().stream().sorted().toList();
    }
}
