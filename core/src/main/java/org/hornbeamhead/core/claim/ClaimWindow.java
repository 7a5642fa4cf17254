package org.hornbeamhead.core.claim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.stream.Collectors;

/**
 * The claims of one partition and one window, as they stand in the platform's service: a line with the window's number,
 * then a line a claim. Immutable.
 */
public final class ClaimWindow {
    private static final int HEX = 16;

    private final long window;
    private final Map<UUID, Long> attempts;

    private ClaimWindow(long window, Map<UUID, Long> attempts) {
        this.window = window;
        this.attempts = attempts;
    }

    /**
     * Makes an empty window.
     *
     * @param window its number
     * @return the window
     */
    public static ClaimWindow empty(long window) {
        return new ClaimWindow(window, Map.of());
    }

    /**
     * Reads a value.
     *
     * @param text the value
     * @return the window
     * @throws IllegalArgumentException when the value was not written by this class
     */
    public static ClaimWindow parse(String text) {
        List<String> lines = text.lines().toList();
        if (lines.isEmpty()) {
            throw new IllegalArgumentException("a claims value is empty");
        }
        Map<UUID, Long> attempts = lines.stream()
                .skip(1)
                .map(line -> line.split(" ", 2))
                .collect(Collectors.toMap(
                        part -> UUID.fromString(part[0]),
                        part -> Long.parseUnsignedLong(part[1], HEX),
                        (a, b) -> a,
                        LinkedHashMap::new));
        return new ClaimWindow(Long.parseLong(lines.get(0)), attempts);
    }

    /**
     * Writes the value.
     *
     * @return the text that {@link #parse} reads
     */
    public String format() {
        return attempts.entrySet().stream()
                .map(e -> e.getKey() + " " + Long.toHexString(e.getValue()))
                .collect(Collectors.joining("\n", window + "\n", "\n"));
    }

    /**
     * Adds claims.
     *
     * @param claims claims of this window, none of which is in it
     * @return the new window
     */
    public ClaimWindow with(List<Claim> claims) {
        Map<UUID, Long> more = new LinkedHashMap<>(attempts);
        claims.forEach(c -> more.putIfAbsent(c.id(), c.attempt()));
        return new ClaimWindow(window, more);
    }

    /**
     * Finds who holds an id.
     *
     * @param id the id
     * @return the attempt, empty when the id is free
     */
    public Optional<Long> attempt(UUID id) {
        return Optional.ofNullable(attempts.get(id));
    }

    /**
     * Returns the window's number.
     *
     * @return the number
     */
    public long window() {
        return window;
    }
}
