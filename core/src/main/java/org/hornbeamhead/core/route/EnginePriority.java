package org.hornbeamhead.core.route;

import java.util.OptionalInt;

/**
 * The priority that engines are told for a request.
 *
 * <p>A customer's priority takes precedence over the route's. If it replaced the route's, all kinds of request of
 * customers with equal priorities would be equal at the engines, however much less urgent one of them is.
 */
public final class EnginePriority {
    /** The least urgent priority that engines know. */
    public static final int LEAST_URGENT = 9;

    /** Levels of routes within one level of customers; less urgent routes share the last one. */
    private static final int ROUTE_LEVELS = 4;

    private EnginePriority() {}

    /**
     * Orders requests by their customers first, and those of equal customers by their routes.
     *
     * @param customer the customer's priority; empty if it has none, so that the route's stands for it
     * @param route the route's priority, 0 is the highest
     * @return the priority at engines, from 0, which is the highest, to {@link #LEAST_URGENT}
     */
    public static int ofCustomerThenRoute(OptionalInt customer, int route) {
        int routeLevel = Math.max(0, Math.min(ROUTE_LEVELS - 1, route));
        long combined = (long) customer.orElse(route) * ROUTE_LEVELS + routeLevel;
        return (int) Math.max(0, Math.min(LEAST_URGENT, combined));
    }

    /**
     * Regards the customer's priority only, if it has one.
     *
     * @param customer the customer's priority
     * @param route the route's priority
     * @return the customer's priority, else the route's
     */
    public static int ofCustomerElseRoute(OptionalInt customer, int route) {
        return customer.orElse(route);
    }
}
