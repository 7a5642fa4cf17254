package org.hornbeamhead.gateway.state;

import io.activej.promise.Promise;
import java.time.Duration;

/** Asks another router for what it knows of the store. */
@FunctionalInterface
public interface MirrorClient {
    /**
     * Asks.
     *
     * @param peer the other router's address
     * @param after the revision that is known here
     * @param wait how long it may wait for the first change
     * @return its answer; fails when none comes soon after the wait
     */
    Promise<MirrorAnswer> fetch(String peer, long after, Duration wait);
}
