package org.hornbeamhead.gateway;

import io.vavr.control.Either;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.route.RoutingConfig;

/** Reads what others write into the platform's store. */
public interface PlatformDocuments {
    /** What a key holds. */
    enum Kind {
        /** The operators' configuration. */
        CONFIGURATION,
        /** The named version of a model's weights. */
        WEIGHTS,
        /** A replica's entry. */
        REPLICA,
        /** Something else. */
        OTHER
    }

    /**
     * A version of a model's weights that operators named.
     *
     * @param model the model
     * @param version the version
     */
    record NamedWeights(String model, long version) {}

    /**
     * Tells what a key holds.
     *
     * @param key the key
     * @return the kind
     */
    Kind kind(String key);

    /**
     * Reads a configuration.
     *
     * @param item the item
     * @return the configuration, or what is wrong
     */
    Either<String, RoutingConfig> configuration(StoreItem item);

    /**
     * Reads a named version.
     *
     * @param item the item
     * @return the version, or what is wrong
     */
    Either<String, NamedWeights> weights(StoreItem item);

    /**
     * Reads a replica's entry.
     *
     * @param item the item
     * @return the entry, or what is wrong
     */
    Either<String, ReplicaEntry> replica(StoreItem item);

    /**
     * Reads a replica's id out of its key.
     *
     * @param key the key
     * @return the id
     */
    String replicaId(String key);
}
