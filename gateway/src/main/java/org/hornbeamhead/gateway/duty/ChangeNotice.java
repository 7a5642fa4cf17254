package org.hornbeamhead.gateway.duty;

import java.util.Map;
import java.util.Set;

/** Tells all routers which replicas are about to change their weights. */
@FunctionalInterface
interface ChangeNotice {
    /**
     * Tells.
     *
     * @param changing the replicas that are about to change, by their ids
     * @param changed the version that replicas have changed to since the last notice
     */
    void tell(Set<String> changing, Map<String, Long> changed);
}
