package org.hornbeamhead.core.http;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The header fields of a message in their original order. Names are case-insensitive.
 *
 * @param lines the header fields
 */
public record Headers(List<Header> lines) {
    /** Headers without any fields. */
    public static final Headers NONE = new Headers(List.of());

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private static final int MAX_DIGITS = 15;

    /** Makes an immutable copy of the fields. */
    public Headers {
        lines = List.copyOf(lines);
    }

    /**
     * Returns the value of the first field with a name.
     *
     * @param name the name
     * @return the value, empty when absent
     */
    public Optional<String> first(String name) {
        return lines.stream()
                .filter(h -> h.name().equalsIgnoreCase(name))
                .map(Header::value)
                .findFirst();
    }

    /**
     * Returns the values of all fields with a name.
     *
     * @param name the name
     * @return the values in order
     */
    public List<String> all(String name) {
        return lines.stream()
                .filter(h -> h.name().equalsIgnoreCase(name))
                .map(Header::value)
                .toList();
    }

    /**
     * Returns the value of a field as a non-negative integer.
     *
     * @param name the name
     * @return the number, empty when absent, longer than 15 digits, or not made of digits only
     */
    public OptionalLong number(String name) {
        return first(name).map(Headers::digits).orElse(OptionalLong.empty());
    }

    private static OptionalLong digits(String text) {
        boolean ok =
                !text.isEmpty() && text.length() <= MAX_DIGITS && text.chars().allMatch(c -> c >= '0' && c <= '9');
        return ok ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }

    /**
     * Returns whether a comma-separated header contains a token.
     *
     * @param name the header name
     * @param token the token, in lower case
     * @return true if the header contains the token
     */
    public boolean containsToken(String name, String token) {
        return all(name).stream().flatMap(Headers::tokens).anyMatch(token::equals);
    }

    private static Stream<String> tokens(String value) {
        return Arrays.stream(value.split(",", -1)).map(w -> w.trim().toLowerCase(Locale.ROOT));
    }

    /**
     * Removes the hop-by-hop fields: the standard ones and those that {@code Connection} lists.
     *
     * @return the end-to-end headers
     */
    public Headers endToEnd() {
        Set<String> listed = all("Connection").stream().flatMap(Headers::tokens).collect(Collectors.toSet());
        return without(name -> HOP_BY_HOP.contains(name) || listed.contains(name));
    }

    /**
     * Removes fields by name.
     *
     * @param unwanted returns whether to remove the field with the given name, which is in lower case
     * @return the remaining headers
     */
    public Headers without(Predicate<String> unwanted) {
        return new Headers(lines.stream()
                .filter(h -> !unwanted.test(h.name().toLowerCase(Locale.ROOT)))
                .toList());
    }

    /**
     * Appends a field.
     *
     * @param name the name
     * @param value the value
     * @return the extended headers
     */
    public Headers with(String name, String value) {
        List<Header> extended = new ArrayList<>(lines);
        extended.add(new Header(name, value));
        return new Headers(extended);
    }
}
