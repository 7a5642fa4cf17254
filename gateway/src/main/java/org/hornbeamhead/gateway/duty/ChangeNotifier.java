package org.hornbeamhead.gateway.duty;

import java.util.Map;
import java.util.Set;

/** Announces to all routers which replicas are about to change their weights. */
@FunctionalInterface
interface ChangeNotifier {
    /**
     * Announces the current changes.
     *
     * @param changing the replicas that are about to change, by run
     * @param changed the version that replicas have changed to since the last announcement, by run
     */
    void announce(Set<String> changing, Map<String, Long> changed);
}
