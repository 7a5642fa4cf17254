package org.hornbeamhead.gateway.explain;

/**
 * An error in a field of a query.
 *
 * @param field the field's name
 * @param reason what is wrong with it
 */
public record FieldError(String field, String reason) {}
