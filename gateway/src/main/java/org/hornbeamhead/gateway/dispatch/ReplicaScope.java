package org.hornbeamhead.gateway.dispatch;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;

/**
 * The replicas that may get a certain request, whatever their state: those of its service that it was not sent to, and
 * once its stream has begun, only those that run the software which began it.
 */
final class ReplicaScope {
    private final String service;
    private final StreamProgress progress;
    private final Set<String> tried = new LinkedHashSet<>();

    ReplicaScope(String service, StreamProgress progress) {
        this.service = service;
        this.progress = progress;
    }

    void recordTried(LiveReplica replica) {
        tried.add(replica.entry().run());
    }

    int triedCount() {
        return tried.size();
    }

    /** Returns the replicas to which the request may be sent. */
    Stream<LiveReplica> untried(ReplicaRegistry registry) {
        return suitable(registry).stream().filter(r -> !tried.contains(r.entry().run()));
    }

    /** Returns the replicas to which the request, if it came anew, could be sent. */
    List<LiveReplica> suitable(ReplicaRegistry registry) {
        return registry.replicas(service).stream()
                .filter(r -> progress.mayGoOnAt(r.software()))
                .toList();
    }

    /** Returns the runs that the request was sent to, for the log. */
    @Override
    public String toString() {
        return tried.toString();
    }
}
