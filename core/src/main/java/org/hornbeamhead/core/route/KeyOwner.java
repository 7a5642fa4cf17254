package org.hornbeamhead.core.route;

import java.util.OptionalInt;

/**
 * The customer whom a key belongs to.
 *
 * @param customer the customer's name
 * @param priority the customer's rank, which goes before the route's
 * @param isolated whether no cached prompt may be shared with other customers
 */
public record KeyOwner(String customer, OptionalInt priority, boolean isolated) {}
