package org.hornbeamhead.core.settings;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/** Reads typed values from one section and reports keys that are unknown to its caller. */
public final class SectionReader {
    private static final int MAX_INTEGER = 999_999_999;

    private final IniSection section;
    private final Findings findings;
    private final Set<String> requestedKeys = new HashSet<>();

    /**
     * Creates a reader.
     *
     * @param section the section
     * @param findings receives the errors found
     */
    public SectionReader(IniSection section, Findings findings) {
        this.section = section;
        this.findings = findings;
    }

    /**
     * Reads an optional value.
     *
     * @param key the key
     * @param parse returns the value, or a message that says why the text is invalid
     * @param <T> the type of the value
     * @return the value; empty if it is absent, or if it is invalid, which adds a finding
     */
    public <T> Optional<T> optional(String key, Function<String, Either<String, T>> parse) {
        requestedKeys.add(key);
        return section.entry(key).flatMap(entry -> {
            Either<String, T> value = parse.apply(entry.value());
            value.peekLeft(message -> findings.add(entry, message));
            return value.toJavaOptional();
        });
    }

    /**
     * Reads a required value.
     *
     * @param key the key
     * @param parse returns the value, or a message that says why the text is invalid
     * @param fallback returned for a missing or invalid value, so that reading can continue and find further errors
     * @param <T> the type of the value
     * @return the value, or the fallback after adding a finding
     */
    public <T> T required(String key, Function<String, Either<String, T>> parse, T fallback) {
        if (section.entry(key).isEmpty()) {
            findings.add(new Finding(section.source(), section.line(), section.name(), key, "this key is missing"));
        }
        return optional(key, parse).orElse(fallback);
    }

    /**
     * Reads an optional text that must not be blank.
     *
     * @param key the key
     * @return the text; empty if it is absent or blank
     */
    public Optional<String> text(String key) {
        return optional(key, SectionReader::nonEmpty);
    }

    /**
     * Reads an optional duration.
     *
     * @param key the key
     * @return the duration; empty if it is absent or invalid
     */
    public Optional<Duration> duration(String key) {
        return optional(key, Durations::parse);
    }

    /**
     * Reads an optional positive integer.
     *
     * @param key the key
     * @return the number; empty if it is absent or invalid
     */
    public Optional<Integer> positiveInteger(String key) {
        return optional(key, text -> Decimals.parseWhole(text, 1, MAX_INTEGER));
    }

    /**
     * Reads an optional number.
     *
     * @param key the key
     * @param min the lowest valid number
     * @param max the highest valid number
     * @return the number; empty if it is absent or invalid
     */
    public Optional<Double> decimal(String key, double min, double max) {
        return optional(key, text -> Decimals.parse(text, min, max));
    }

    /**
     * Reads an optional list of names separated by commas.
     *
     * @param key the key
     * @return the names; empty if the key is absent
     */
    public List<String> names(String key) {
        return text(key).map(SectionReader::splitNames).orElse(List.of());
    }

    /** Adds a finding for each key of the section that was not read. Must be called after all keys were read. */
    public void reportUnknownKeys() {
        section.entries().stream()
                .filter(e -> !requestedKeys.contains(e.key()))
                .forEach(e -> findings.add(e, "unknown key; known here: " + String.join(", ", sorted(requestedKeys))));
    }

    /**
     * Trims a text and rejects a blank one.
     *
     * @param text the text
     * @return the trimmed text, or a message that says why it is invalid
     */
    public static Either<String, String> nonEmpty(String text) {
        return text.isBlank() ? Either.left("the value is empty") : Either.right(text.trim());
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
