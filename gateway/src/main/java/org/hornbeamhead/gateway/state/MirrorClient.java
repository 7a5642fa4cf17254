package org.hornbeamhead.gateway.state;

import io.activej.promise.Promise;
import java.time.Duration;

/** Fetches the changes of the store that another router knows. */
@FunctionalInterface
public interface MirrorClient {
    /**
     * Fetches the changes after a revision.
     *
     * @param peer the address of the other router
     * @param after the last revision known to this router
     * @param wait how long the other router may wait for the first change
     * @return the answer; fails if none arrives soon after the wait
     */
    Promise<MirrorAnswer> fetch(String peer, long after, Duration wait);
}
