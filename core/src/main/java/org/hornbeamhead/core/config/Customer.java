package org.hornbeamhead.core.config;

import java.util.List;

/**
 * A customer with its key and the classes of work and pools that it may use.
 *
 * @param name the name of the customer
 * @param keySha256 the SHA-256 of the customer's key, in lower-case hexadecimal digits
 * @param classes the classes of work that the customer may use; the first is the default
 * @param pools the pools that the customer may use
 */
public record Customer(String name, String keySha256, List<String> classes, List<String> pools) {
    /** Copies the lists to keep the customer immutable. */
    public Customer {
        classes = List.copyOf(classes);
        pools = List.copyOf(pools);
    }
}
