package org.hornbeamhead.core.stream;

/**
 * One event of an engine's stream of server-sent events.
 *
 * @param sequence the event's number from its {@code id} field, counted from 0; negative when it has none
 * @param requestId the request that the event names; empty when it names none
 * @param data the event's data
 * @param end whether this is the end mark of a complete stream
 */
public record StreamEvent(long sequence, String requestId, String data, boolean end) {}
