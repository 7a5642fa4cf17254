package org.hornbeamhead.core.settings;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/** Reads typed values out of one section and reports every key that nobody asked for. */
public final class SectionReader {
    private final IniSection section;
    private final Findings findings;
    private final Set<String> known = new HashSet<>();

    /**
     * Makes a reader.
     *
     * @param section the section
     * @param findings receives what is wrong
     */
    public SectionReader(IniSection section, Findings findings) {
        this.section = section;
        this.findings = findings;
    }

    /**
     * Reads an optional value.
     *
     * @param key the key
     * @param parse gives the value, or says what is wrong
     * @param <T> the type of the value
     * @return the value; empty when absent or wrong, the latter with a finding
     */
    public <T> Optional<T> optional(String key, Function<String, Either<String, T>> parse) {
        known.add(key);
        return section.entry(key).flatMap(entry -> {
            Either<String, T> value = parse.apply(entry.value());
            value.peekLeft(message -> findings.add(entry, message));
            return value.toJavaOptional();
        });
    }

    /**
     * Reads a value that must be there.
     *
     * @param key the key
     * @param parse gives the value, or says what is wrong
     * @param fallback stands in for a missing value, so that reading can go on to further findings
     * @param <T> the type of the value
     * @return the value, or the fallback with a finding
     */
    public <T> T required(String key, Function<String, Either<String, T>> parse, T fallback) {
        if (section.entry(key).isEmpty()) {
            findings.add(new Finding(section.source(), section.line(), section.name(), key, "this key is missing"));
        }
        return optional(key, parse).orElse(fallback);
    }

    /**
     * Reads a text.
     *
     * @param key the key
     * @return the text, empty when absent
     */
    public Optional<String> text(String key) {
        return optional(key, SectionReader::nonEmpty);
    }

    /**
     * Reads a duration.
     *
     * @param key the key
     * @return the duration, empty when absent or wrong
     */
    public Optional<Duration> duration(String key) {
        return optional(key, Durations::parse);
    }

    /**
     * Reads a positive whole number.
     *
     * @param key the key
     * @return the number, empty when absent or wrong
     */
    public Optional<Integer> positiveInteger(String key) {
        return optional(key, SectionReader::positiveNumber);
    }

    /**
     * Reads names separated by commas.
     *
     * @param key the key
     * @return the names, empty when absent
     */
    public List<String> names(String key) {
        return text(key).map(SectionReader::splitNames).orElse(List.of());
    }

    /** Reports each key of the section that was never asked for. Called last. */
    public void reportUnknownKeys() {
        section.entries().stream()
                .filter(e -> !known.contains(e.key()))
                .forEach(e -> findings.add(e, "unknown key; known here: " + String.join(", ", sorted(known))));
    }

    /**
     * Accepts any text but an empty one.
     *
     * @param text the text
     * @return the text, or what is wrong
     */
    public static Either<String, String> nonEmpty(String text) {
        return text.isBlank() ? Either.left("the value is empty") : Either.right(text.trim());
    }

    private static Either<String, Integer> positiveNumber(String text) {
        boolean digits = !text.isEmpty() && text.length() < 10 && text.chars().allMatch(Character::isDigit);
        if (!digits || Integer.parseInt(text) == 0) {
            return Either.left("'" + text + "' is no whole number above zero");
        }
        return Either.right(Integer.parseInt(text));
    }

    private static List<String> splitNames(String text) {
        return Arrays.stream(text.split(",", -1))
                .map(String::trim)
                .filter(s -> !s.isEmpty())
                .toList();
    }

    private static List<String> sorted(Set<String> names) {
        return names.stream().sorted().toList();
    }
}
