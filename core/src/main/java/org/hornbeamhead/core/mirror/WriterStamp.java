package org.hornbeamhead.core.mirror;

import java.util.Optional;

/**
 * The place of a value among the values that its writer has sent.
 *
 * <p>The store may carry out a write seconds after it was sent, when later writes of the same writer are already done.
 * Revisions count in the order in which writes were carried out, so they cannot tell such a value from a new one.
 *
 * @param startedAt when the writer started, in milliseconds since the epoch of 1970; 0 if unknown, as for writers that
 *     have another key after each start
 * @param origin what else identifies a run of the writer; values of different origins are not ordered by their sequence
 * @param sequence the count of the writer's values, which begins anew with each start
 */
public record WriterStamp(long startedAt, String origin, long sequence) {
    /**
     * Compares the stamp with another one of the same key.
     *
     * @param other the other stamp
     * @return less than 0 if this value was sent earlier, more than 0 if it was sent later, or empty if the stamps do
     *     not tell
     */
    public Optional<Integer> compareWith(WriterStamp other) {
        if (startedAt != other.startedAt) {
            return startedAt == 0 || other.startedAt == 0
                    ? Optional.empty()
                    : Optional.of(Long.compare(startedAt, other.startedAt));
        }
        return origin.equals(other.origin) && sequence != other.sequence
                ? Optional.of(Long.compare(sequence, other.sequence))
                : Optional.empty();
    }
}
