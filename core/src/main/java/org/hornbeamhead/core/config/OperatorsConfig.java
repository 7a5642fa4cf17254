package org.hornbeamhead.core.config;

import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The configuration written by the operators: classes of work with their targets, customers, and pools with what they
 * serve. It holds no load-balancing weights and no addresses.
 *
 * @param fleet the name of the fleet
 * @param zone the time zone of the times of day by which batch requests must finish
 * @param classes the classes of work by name
 * @param pools the pools by name
 * @param customers the customers by name
 */
public record OperatorsConfig(
        String fleet,
        ZoneId zone,
        Map<String, RequestClass> classes,
        Map<String, Pool> pools,
        Map<String, Customer> customers) {
    /** The empty configuration, used before the first one is read; nothing is served. */
    public static final OperatorsConfig EMPTY = new OperatorsConfig("", ZoneOffset.UTC, Map.of(), Map.of(), Map.of());

    private static final double DEFAULT_FIRST_TOKEN_MILLIS = 1_000;

    /** Copies the maps to keep the configuration immutable. */
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
     * @param model the name of the model or of the pool
     * @return the pool
     */
    public Optional<Pool> poolByModel(String model) {
        return pools.values().stream()
                .filter(p ->
                        p.isEngine() && (p.model().equals(model) || p.name().equals(model)))
                .findFirst();
    }

    /**
     * Returns the shortest first-token target of the interactive classes.
     *
     * @return the target in milliseconds; one second if no class is interactive
     */
    public double tightestFirstTokenMillis() {
        return classes.values().stream()
                .filter(c -> !c.batch())
                .mapToDouble(c -> c.firstToken().toMillis())
                .min()
                .orElse(DEFAULT_FIRST_TOKEN_MILLIS);
    }

    /**
     * Returns the names of the customers in alphabetical order.
     *
     * @return the names
     */
    public List<String> customerNames() {
        return customers.keySet().stream().sorted().toList();
    }
}
