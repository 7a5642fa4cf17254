package org.hornbeamhead.soak.promise;

import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;

/** Looks for breaches of one promise. */
@FunctionalInterface
public interface Check {
    /**
     * Checks a run.
     *
     * @param history what was seen
     * @return the breaches, none when the promise was kept
     */
    Stream<Breach> breaches(History history);
}
