package org.hornbeamhead.core.config;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A version of the configuration with the recent log entries that led to it.
 *
 * @param version the version; 0 before the first configuration
 * @param document the text of the configuration
 * @param recent the newest entries, oldest first; the last one created this version
 */
public record ConfigState(long version, ConfigDocument document, List<ConfigRecord> recent) {
    private static final int RECENT_LIMIT = 64;

    /** The state before the first configuration. */
    public static final ConfigState NONE = new ConfigState(0, ConfigDocument.of(""), List.of());

    /** Copies the entries to keep the state immutable. */
    public ConfigState {
        recent = List.copyOf(recent);
    }

    /**
     * Returns the state after the next entry.
     *
     * @param record the entry of the next version, or any later entry that holds the complete text
     * @return the next state
     * @throws IllegalArgumentException if the entry does not follow this state
     */
    public ConfigState with(ConfigRecord record) {
        boolean follows = record.version() == version + 1;
        if (!follows && (record.fullText().isEmpty() || record.version() <= version)) {
            throw new IllegalArgumentException("entry " + record.version() + " does not follow " + version);
        }
        Stream<ConfigRecord> kept = follows ? recent.stream() : Stream.empty();
        List<ConfigRecord> next = Stream.concat(kept, Stream.of(record)).toList();
        return new ConfigState(
                record.version(),
                record.apply(document),
                next.subList(Math.max(0, next.size() - RECENT_LIMIT), next.size()));
    }

    /**
     * Returns the entries that lead from an older version to this one.
     *
     * @param known the version that the requester has
     * @return the entries, or one entry with the complete text if the requester is too far behind
     */
    public List<ConfigRecord> since(long known) {
        if (known >= version) {
            return List.of();
        }
        List<ConfigRecord> newer =
                recent.stream().filter(r -> r.version() > known).toList();
        if (newer.get(0).version() == known + 1) {
            return newer;
        }
        ConfigRecord last = recent.get(recent.size() - 1);
        return List.of(new ConfigRecord(
                version,
                last.changeId(),
                last.author(),
                last.wallMillis(),
                last.reason(),
                Optional.of(document.text()),
                List.of()));
    }
}
