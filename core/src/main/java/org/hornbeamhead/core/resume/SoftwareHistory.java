package org.hornbeamhead.core.resume;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Which software versions the replicas of each service have run lately. While a service has had one version only for
 * longer than a stream can last, each stream was begun by that version, whoever remembers it.
 *
 * <p>Not thread-safe.
 */
public final class SoftwareHistory {
    private final Map<String, Map<SoftwareVersion, Presence>> services = new HashMap<>();
    private long completeSinceMillis;

    /** How many replicas run a version, and when the last one was listed if none does. */
    private static final class Presence {
        private int listed;
        private long lastListedMillis;

        private boolean isRecent(long windowMillis, long nowMillis) {
            return listed > 0 || nowMillis - lastListedMillis < windowMillis;
        }
    }

    /**
     * The history as it is handed from one process to the next.
     *
     * @param completeMillis for how long it leaves no version out, in milliseconds
     * @param services for each service and version how long ago its last replica was listed, in milliseconds; 0 if one
     *     is listed
     */
    public record Snapshot(long completeMillis, Map<String, Map<SoftwareVersion, Long>> services) {
        /** Makes an immutable copy of the services. */
        public Snapshot {
            services = Map.copyOf(services);
        }
    }

    /**
     * Creates a history that begins now.
     *
     * @param nowMillis the monotonic time
     */
    public SoftwareHistory(long nowMillis) {
        this.completeSinceMillis = nowMillis;
    }

    /**
     * Records that a replica was listed.
     *
     * @param service its service
     * @param software its version
     */
    public void replicaListed(String service, SoftwareVersion software) {
        presence(service, software).listed++;
    }

    /**
     * Records that a replica is no longer listed.
     *
     * @param service its service
     * @param software its version
     * @param nowMillis the monotonic time
     */
    public void replicaRemoved(String service, SoftwareVersion software, long nowMillis) {
        Presence presence = presence(service, software);
        presence.listed--;
        presence.lastListedMillis = nowMillis;
    }

    private Presence presence(String service, SoftwareVersion software) {
        return services.computeIfAbsent(service, s -> new HashMap<>()).computeIfAbsent(software, v -> new Presence());
    }

    /**
     * Adds what an earlier process knew. A version that it saw listed and that is not listed now was lost at an unknown
     * time, which counts as this moment.
     *
     * @param earlier the earlier history
     * @param nowMillis the monotonic time
     */
    public void merge(Snapshot earlier, long nowMillis) {
        completeSinceMillis = Math.min(completeSinceMillis, nowMillis - earlier.completeMillis());
        earlier.services()
                .forEach((service, versions) -> versions.forEach((software, goneMillis) -> {
                    Presence presence = services.computeIfAbsent(service, s -> new HashMap<>())
                            .computeIfAbsent(software, v -> absentSince(Long.MIN_VALUE / 2));
                    presence.lastListedMillis = Math.max(presence.lastListedMillis, nowMillis - goneMillis);
                }));
    }

    private static Presence absentSince(long millis) {
        Presence presence = new Presence();
        presence.lastListedMillis = millis;
        return presence;
    }

    /**
     * Returns the history for the next process.
     *
     * @param windowMillis how long versions that are gone are kept, in milliseconds
     * @param nowMillis the monotonic time
     * @return the history; versions that have been gone for longer are forgotten
     */
    public Snapshot snapshot(long windowMillis, long nowMillis) {
        services.values().forEach(v -> v.values().removeIf(p -> !p.isRecent(windowMillis, nowMillis)));
        services.values().removeIf(Map::isEmpty);
        return new Snapshot(
                nowMillis - completeSinceMillis,
                services.entrySet().stream()
                        .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().entrySet().stream()
                                .collect(Collectors.toMap(
                                        Map.Entry::getKey,
                                        v -> v.getValue().listed > 0
                                                ? 0
                                                : Math.max(1, nowMillis - v.getValue().lastListedMillis))))));
    }

    /**
     * Returns the only version that a service has had.
     *
     * @param service the service
     * @param windowMillis for how long, in milliseconds
     * @param nowMillis the monotonic time
     * @return the version; empty if there were several, or if this history is too short to tell
     */
    public Optional<SoftwareVersion> soleVersion(String service, long windowMillis, long nowMillis) {
        if (nowMillis - completeSinceMillis < windowMillis) {
            return Optional.empty();
        }
        List<SoftwareVersion> recent = services.getOrDefault(service, Map.of()).entrySet().stream()
                .filter(e -> e.getValue().isRecent(windowMillis, nowMillis))
                .map(Map.Entry::getKey)
                .toList();
        return recent.size() == 1 ? Optional.of(recent.get(0)) : Optional.empty();
    }
}
