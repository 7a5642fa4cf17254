package org.hornbeamhead.core.drain;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * All drain orders, as they stand under one key of the platform's service: those in force, and the latest ended ones as
 * an audit trail. Immutable.
 *
 * @param orders the orders, oldest first
 */
public record DrainOrders(List<DrainOrder> orders) {
    /** The key in the platform's service. */
    public static final String KEY = "orders/drains";

    /** No order was ever given. */
    public static final DrainOrders NONE = new DrainOrders(List.of());

    private static final int KEPT = 1_000;
    private static final String SEPARATOR = "|";
    private static final int FIELDS = 5;

    /** Copies the orders and forgets the oldest ended ones beyond what is kept. */
    public DrainOrders {
        long surplus = Math.max(0, orders.size() - KEPT);
        List<DrainOrder> forgotten =
                orders.stream().filter(o -> !o.isInForce()).limit(surplus).toList();
        orders = orders.stream().filter(o -> !forgotten.contains(o)).toList();
    }

    /**
     * Reads the value. Lines that are no orders are passed over.
     *
     * @param text the value
     * @return the orders
     */
    public static DrainOrders parse(String text) {
        return new DrainOrders(text.lines()
                .map(line -> line.split("\\" + SEPARATOR, -1))
                .filter(f -> f.length == FIELDS)
                .map(f -> new DrainOrder(f[0], f[1], time(f[2]), f[3], f[4]))
                .toList());
    }

    /** An endpoint must not get work because the time of its order is damaged. */
    private static long time(String wallMillis) {
        return wallMillis.matches("[0-9]{1,18}") ? Long.parseLong(wallMillis) : 0;
    }

    /**
     * Writes the value.
     *
     * @return the text that {@link #parse} reads
     */
    public String format() {
        return orders.stream()
                .map(o -> String.join(
                        SEPARATOR, o.address(), o.author(), Long.toString(o.wallMillis()), o.reason(), o.endedBy()))
                .collect(Collectors.joining("\n"));
    }

    /**
     * Adds an order.
     *
     * @param order the order
     * @return the orders with it; unchanged when one for the same endpoint is in force
     */
    public DrainOrders with(DrainOrder order) {
        return isDraining(order.address())
                ? this
                : new DrainOrders(
                        Stream.concat(orders.stream(), Stream.of(order)).toList());
    }

    /**
     * Ends the order on an endpoint.
     *
     * @param address the endpoint
     * @param author who ends it
     * @return the orders after that
     */
    public DrainOrders withEnded(String address, String author) {
        return new DrainOrders(orders.stream()
                .map(o -> o.isInForce() && o.address().equals(address)
                        ? new DrainOrder(o.address(), o.author(), o.wallMillis(), o.reason(), author)
                        : o)
                .toList());
    }

    /**
     * Tells whether an endpoint is to take no new work.
     *
     * @param address the endpoint
     * @return true while an order is in force
     */
    public boolean isDraining(String address) {
        return orders.stream().anyMatch(o -> o.isInForce() && o.address().equals(address));
    }
}
