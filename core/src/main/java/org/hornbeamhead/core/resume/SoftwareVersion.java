package org.hornbeamhead.core.resume;

import org.hornbeamhead.core.hash.FieldHash;

/**
 * The version of the software that a replica runs, as a hash of its name. Versions have no order; they are equal or
 * not. It is unrelated to the version of the weights.
 *
 * @param value the hash
 */
public record SoftwareVersion(long value) {
    private static final String NAMED = "version";
    private static final String UNNAMED = "run";

    /**
     * Returns the version with a name.
     *
     * @param name the name, compared byte for byte
     * @return the version
     */
    public static SoftwareVersion named(String name) {
        return new SoftwareVersion(FieldHash.of(NAMED, name));
    }

    /**
     * Returns the version of a replica that does not name one. It is unknown, and thus equal only to that of the same
     * run.
     *
     * @param run the name of the run
     * @return the version
     */
    public static SoftwareVersion unnamed(String run) {
        return new SoftwareVersion(FieldHash.of(UNNAMED, run));
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
