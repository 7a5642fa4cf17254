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
 * The header lines of a message in their order, names compared without case.
 *
 * @param lines the lines
 */
public record Headers(List<Header> lines) {
    /** No lines. */
    public static final Headers NONE = new Headers(List.of());

    private static final Set<String> OF_ONE_CONNECTION = Set.of(
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

    /** Copies the lines, so that they cannot change. */
    public Headers {
        lines = List.copyOf(lines);
    }

    /**
     * Finds the first line of a name.
     *
     * @param name the name
     * @return its value
     */
    public Optional<String> first(String name) {
        return lines.stream()
                .filter(h -> h.name().equalsIgnoreCase(name))
                .map(Header::value)
                .findFirst();
    }

    /**
     * Lists the values of all lines of a name.
     *
     * @param name the name
     * @return the values in their order
     */
    public List<String> all(String name) {
        return lines.stream()
                .filter(h -> h.name().equalsIgnoreCase(name))
                .map(Header::value)
                .toList();
    }

    /**
     * Reads a whole number.
     *
     * @param name the name
     * @return the number, empty when absent or not made of digits alone
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
     * Tells whether a list in a header holds a word.
     *
     * @param name the header
     * @param word the word, in lower case
     * @return true when it stands there
     */
    public boolean listed(String name, String word) {
        return all(name).stream().flatMap(Headers::words).anyMatch(word::equals);
    }

    private static Stream<String> words(String value) {
        return Arrays.stream(value.split(",", -1)).map(w -> w.trim().toLowerCase(Locale.ROOT));
    }

    /**
     * Leaves out what concerns one connection only: the usual names and those that {@code Connection} lists.
     *
     * @return the lines that are passed on
     */
    public Headers endToEnd() {
        Set<String> listed = all("Connection").stream().flatMap(Headers::words).collect(Collectors.toSet());
        return without(name -> OF_ONE_CONNECTION.contains(name) || listed.contains(name));
    }

    /**
     * Leaves out lines by their names.
     *
     * @param unwanted tells of a name in lower case whether it is left out
     * @return the other lines
     */
    public Headers without(Predicate<String> unwanted) {
        return new Headers(lines.stream()
                .filter(h -> !unwanted.test(h.name().toLowerCase(Locale.ROOT)))
                .toList());
    }

    /**
     * Adds a line at the end.
     *
     * @param name the name
     * @param value the value
     * @return the longer headers
     */
    public Headers with(String name, String value) {
        List<Header> longer = new ArrayList<>(lines);
        longer.add(new Header(name, value));
        return new Headers(longer);
    }
}
