package org.hornbeamhead.core.claim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.stream.Collectors;

/**
 * The claims of one partition and one window, as stored in the platform's key-value service: a line with the window's
 * number, followed by one line per claim. Immutable.
 */
public final class ClaimWindow {
    private static final int HEX_RADIX = 16;

    private final long window;
    private final Map<UUID, Long> attempts;

    private ClaimWindow(long window, Map<UUID, Long> attempts) {
        this.window = window;
        this.attempts = attempts;
    }

    /**
     * Creates an empty window.
     *
     * @param window the window's number
     * @return the window
     */
    public static ClaimWindow empty(long window) {
        return new ClaimWindow(window, Map.of());
    }

    /**
     * Parses a stored value.
     *
     * @param text the value
     * @return the window
     * @throws IllegalArgumentException if the value was not written by this class
     */
    public static ClaimWindow parse(String text) {
        List<String> lines = text.lines().toList();
        if (lines.isEmpty()) {
            throw new IllegalArgumentException(
                    "claim window value is empty; expected a window number on the first line");
        }
        Map<UUID, Long> attempts = lines.stream()
                .skip(1)
                .map(line -> line.split(" ", 2))
                .collect(Collectors.toMap(
                        part -> UUID.fromString(part[0]),
                        part -> Long.parseUnsignedLong(part[1], HEX_RADIX),
                        (a, b) -> a,
                        LinkedHashMap::new));
        return new ClaimWindow(Long.parseLong(lines.get(0)), attempts);
    }

    /**
     * Formats the value to store.
     *
     * @return the value, in the form read by {@link #parse}
     */
    public String format() {
        return attempts.entrySet().stream()
                .map(e -> e.getKey() + " " + Long.toHexString(e.getValue()))
                .collect(Collectors.joining("\n", window + "\n", "\n"));
    }

    /**
     * Returns a copy of this window with added claims.
     *
     * @param claims the claims to add, whose ids are in this window's range and not held yet
     * @return the new window
     */
    public ClaimWindow withClaims(List<Claim> claims) {
        Map<UUID, Long> extended = new LinkedHashMap<>(attempts);
        claims.forEach(c -> extended.putIfAbsent(c.id(), c.attempt()));
        return new ClaimWindow(window, extended);
    }

    /**
     * Returns the attempt that holds an id.
     *
     * @param id the id
     * @return the attempt; empty if the id is not claimed
     */
    public Optional<Long> attemptHolding(UUID id) {
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
