package org.hornbeamhead.gateway.state;

/**
 * The maximum age of a published version of a model's weights, as one router reports it to another.
 *
 * @param model the model
 * @param version the version
 * @param millisAgo milliseconds since the last time at which the version was not published yet
 * @param guessed whether the router found the version at its start, so that the age is only an estimate
 */
public record NamedAge(String model, long version, long millisAgo, boolean guessed) {
    /** Validates the version. */
    public NamedAge {
        if (version < 0) {
            throw new IllegalArgumentException("the version must not be negative, but " + version + " is");
        }
    }
}
