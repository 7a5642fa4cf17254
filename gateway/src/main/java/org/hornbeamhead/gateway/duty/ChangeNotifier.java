package org.hornbeamhead.gateway.duty;

import java.util.Map;
import java.util.Set;
import org.hornbeamhead.gateway.state.ReplicaModel;

/** Announces to all routers which replicas are about to change their weights. */
@FunctionalInterface
interface ChangeNotifier {
    /**
     * Announces the current changes.
     *
     * @param changing the replicas that are about to change, by run; requests of their other models would delay the
     *     change
     * @param changed the versions that replicas have changed to since the last announcement
     */
    void announce(Set<String> changing, Map<ReplicaModel, Long> changed);
}
