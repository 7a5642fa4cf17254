package org.hornbeamhead.core.route;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.stream.Collectors;
import net.openhft.hashing.LongHashFunction;

/**
 * Which customers share cached prompt parts.
 *
 * <p>An isolated customer has a group of its own. All others form one group, whose name depends on who is isolated:
 * when a customer becomes isolated, the parts that its requests left in the group before must not be found any more.
 * The name follows from the configuration alone, so that it is the same at each router and after each start.
 */
public final class CacheIsolation {
    private final Set<String> isolated;
    private final String sharedGroup;

    /**
     * Creates the groups.
     *
     * @param isolated the names of the customers that are isolated, with or without API keys
     */
    public CacheIsolation(Set<String> isolated) {
        this.isolated = Set.copyOf(isolated);
        this.sharedGroup = isolated.isEmpty() ? "" : "/" + hash(isolated);
    }

    private static String hash(Set<String> names) {
        String text =
                names.stream().sorted().map(name -> name.length() + ":" + name).collect(Collectors.joining());
        return Long.toHexString(LongHashFunction.xx3().hashBytes(text.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Returns whether a customer shares its cached parts with no other.
     *
     * @param customer the customer
     * @return whether it is isolated
     */
    public boolean isIsolated(String customer) {
        return isolated.contains(customer);
    }

    /**
     * Returns the group that an isolated customer has for itself.
     *
     * @param customer the customer
     * @return the name of the group, which no other customer and no shared group has
     */
    public String ownGroup(String customer) {
        return '.' + customer;
    }

    /**
     * Returns the group of all customers that are not isolated, and of requests without a customer.
     *
     * @return the name of the group; empty if nobody is isolated
     */
    public String sharedGroup() {
        return sharedGroup;
    }
}
