package org.hornbeamhead.core.route;

import java.util.OptionalInt;

/**
 * The customer that an API key belongs to.
 *
 * @param customer the customer's name
 * @param priority the customer's priority, which overrides the route's
 * @param isolated whether cached prompts must not be shared with other customers
 */
public record KeyOwner(String customer, OptionalInt priority, boolean isolated) {}
