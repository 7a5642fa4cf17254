package org.hornbeamhead.gateway;

import io.vavr.control.Either;
import java.util.Optional;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.WriterStamp;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.route.RoutingConfig;

/** Parses the items that operators and replicas write to the platform's store. */
public interface PlatformDocumentParser {
    /** The kind of an item. */
    enum Kind {
        /** The operators' configuration. */
        CONFIGURATION,
        /** A published version of a model's weights. */
        WEIGHTS,
        /** A replica's entry. */
        REPLICA,
        /** Any other item. */
        OTHER
    }

    /**
     * A version of a model's weights that operators published.
     *
     * @param model the model
     * @param version the version
     */
    record PublishedWeights(String model, long version) {}

    /**
     * Returns the kind of the item that is stored under a key.
     *
     * @param key the key
     * @return the kind
     */
    Kind kind(String key);

    /**
     * Parses a configuration.
     *
     * @param item the item
     * @return the configuration, or a description of what is invalid
     */
    Either<String, RoutingConfig> parseConfiguration(StoreItem item);

    /**
     * Parses a published version of weights.
     *
     * @param item the item
     * @return the version, or a description of what is invalid
     */
    Either<String, PublishedWeights> parseWeights(StoreItem item);

    /**
     * Parses a replica's entry.
     *
     * @param item the item
     * @return the entry, or a description of what is invalid
     */
    Either<String, ReplicaEntry> parseReplica(StoreItem item);

    /**
     * Reads the stamp that a replica puts on its entry.
     *
     * @param item the item
     * @return the stamp, or empty if the item is not a replica's entry or bears none
     */
    Optional<WriterStamp> readStamp(StoreItem item);

    /**
     * Extracts the replica's id from the key of its entry.
     *
     * @param key the key
     * @return the id
     */
    String replicaId(String key);
}
