package org.hornbeamhead.core.drain;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * All drain orders, stored under one key of the platform's service: those in force, and the latest ended ones as an
 * audit trail. Immutable.
 *
 * @param orders the orders, oldest first
 */
public record DrainOrders(List<DrainOrder> orders) {
    /** The key in the platform's service. */
    public static final String KEY = "orders/drains";

    /** The empty list of orders. */
    public static final DrainOrders NONE = new DrainOrders(List.of());

    private static final int MAX_ORDERS = 1_000;
    private static final String SEPARATOR = "|";
    private static final int FIELD_COUNT = 5;

    /** Copies the orders and removes the oldest ended ones above the limit. Orders in force are never removed. */
    public DrainOrders {
        long surplus = Math.max(0, orders.size() - MAX_ORDERS);
        List<DrainOrder> removed =
                orders.stream().filter(o -> !o.isInForce()).limit(surplus).toList();
        orders = orders.stream().filter(o -> !removed.contains(o)).toList();
    }

    /**
     * Parses the stored value. Lines with a wrong number of fields are skipped.
     *
     * @param text the stored value
     * @return the orders
     */
    public static DrainOrders parse(String text) {
        return new DrainOrders(text.lines()
                .map(line -> line.split("\\" + SEPARATOR, -1))
                .filter(f -> f.length == FIELD_COUNT)
                .map(f -> new DrainOrder(f[0], f[1], time(f[2]), f[3], f[4]))
                .toList());
    }

    /** Returns 0 for an invalid time, so that an order with a damaged time still keeps work from its endpoint. */
    private static long time(String wallMillis) {
        return wallMillis.matches("[0-9]{1,18}") ? Long.parseLong(wallMillis) : 0;
    }

    /**
     * Formats the orders as the stored value.
     *
     * @return the text that {@link #parse} accepts
     */
    public String format() {
        return orders.stream()
                .map(o -> String.join(
                        SEPARATOR, o.address(), o.author(), Long.toString(o.wallMillis()), o.reason(), o.endedBy()))
                .collect(Collectors.joining("\n"));
    }

    /**
     * Returns these orders with one added.
     *
     * @param order the order to add
     * @return the new orders; these orders if one for the same endpoint is in force
     */
    public DrainOrders with(DrainOrder order) {
        return isDraining(order.address())
                ? this
                : new DrainOrders(
                        Stream.concat(orders.stream(), Stream.of(order)).toList());
    }

    /**
     * Returns these orders with the one for an endpoint ended.
     *
     * @param address the address of the endpoint
     * @param author the operator who ends the order
     * @return the new orders
     */
    public DrainOrders withEnded(String address, String author) {
        return new DrainOrders(orders.stream()
                .map(o -> o.isInForce() && o.address().equals(address)
                        ? new DrainOrder(o.address(), o.author(), o.wallMillis(), o.reason(), author)
                        : o)
                .toList());
    }

    /**
     * Returns whether an endpoint must receive no new work.
     *
     * @param address the address of the endpoint
     * @return true while an order for the endpoint is in force
     */
    public boolean isDraining(String address) {
        return orders.stream().anyMatch(o -> o.isInForce() && o.address().equals(address));
    }
}
