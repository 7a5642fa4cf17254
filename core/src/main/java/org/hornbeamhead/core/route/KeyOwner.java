package org.hornbeamhead.core.route;

import java.util.Optional;
import java.util.OptionalInt;
import org.hornbeamhead.core.quota.QuotaLimit;

/**
 * The customer that an API key belongs to.
 *
 * @param customer the customer's name
 * @param priority the customer's priority, which overrides the route's
 * @param isolated whether cached prompts must not be shared with other customers
 * @param quota what the customer may send over all routers together; empty if that is not limited
 */
public record KeyOwner(String customer, OptionalInt priority, boolean isolated, Optional<QuotaLimit> quota) {}
