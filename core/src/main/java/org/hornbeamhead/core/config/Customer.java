package org.hornbeamhead.core.config;

import java.util.List;

/**
 * A customer.
 *
 * @param name the name
 * @param keySha256 the SHA-256 of its key, in lower-case hexadecimal digits
 * @param classes the classes it may use; the first is the default
 * @param pools the pools it may use
 */
public record Customer(String name, String keySha256, List<String> classes, List<String> pools) {
    /** Copies the lists, so that the customer cannot change. */
    public Customer {
        classes = List.copyOf(classes);
        pools = List.copyOf(pools);
    }
}
