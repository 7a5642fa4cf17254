package org.hornbeamhead.gateway.state;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Writes to several keys that the store executes as a whole or not at all.
 *
 * @param expected the revisions that must hold for the transaction to be executed
 * @param writes the writes, in the order of their revisions
 */
public record StoreTransaction(List<ExpectedRevision> expected, List<KeyWrite> writes) {
    /** Copies the lists, so that the transaction is immutable. */
    public StoreTransaction {
        expected = List.copyOf(expected);
        writes = List.copyOf(writes);
    }

    /**
     * A condition of a transaction.
     *
     * @param key the key
     * @param revision the revision that the key must have, 0 if it must be absent
     */
    public record ExpectedRevision(String key, long revision) {}

    /**
     * A write of one key.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease to which the key is attached
     */
    public record KeyWrite(String key, String value, Optional<String> lease) {}

    /**
     * Returns a transaction that writes one key.
     *
     * @param key the key
     * @param expected the revision that the key must have, 0 if it must be absent; empty to write unconditionally
     * @param value the value
     * @param lease the lease to which the key is attached
     * @return the transaction
     */
    static StoreTransaction ofKey(String key, OptionalLong expected, String value, Optional<String> lease) {
        List<ExpectedRevision> conditions = expected.stream()
                .mapToObj(revision -> new ExpectedRevision(key, revision))
                .toList();
        return new StoreTransaction(conditions, List.of(new KeyWrite(key, value, lease)));
    }
}
