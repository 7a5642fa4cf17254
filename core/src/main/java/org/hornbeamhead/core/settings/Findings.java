package org.hornbeamhead.core.settings;

import io.vavr.control.Validation;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** Collects findings while an input is read, so that all of them are reported together. */
public final class Findings {
    private final List<Finding> list = new ArrayList<>();

    /**
     * Adds a finding.
     *
     * @param finding what is wrong, and where
     */
    public void add(Finding finding) {
        list.add(finding);
    }

    /**
     * Adds a finding at an INI entry.
     *
     * @param entry the entry at fault
     * @param message what is wrong
     */
    public void add(IniEntry entry, String message) {
        list.add(new Finding(entry.source(), entry.line(), entry.section(), entry.key(), message));
    }

    /**
     * Tells whether nothing was found.
     *
     * @return true when the input is clean
     */
    public boolean isEmpty() {
        return list.isEmpty();
    }

    /**
     * Returns the findings so far.
     *
     * @return an immutable copy, in the order of discovery
     */
    public List<Finding> toList() {
        return List.copyOf(list);
    }

    /**
     * Ends the collection with a value or with all findings.
     *
     * @param value makes the value; called only when nothing was found
     * @param <T> the type of the value
     * @return the value, or every finding
     */
    public <T> Validation<List<Finding>, T> toValidation(Supplier<T> value) {
        return list.isEmpty() ? Validation.valid(value.get()) : Validation.invalid(toList());
    }

    /**
     * Renders findings one a line.
     *
     * @param findings the findings
     * @return the text
     */
    public static String render(List<Finding> findings) {
        return findings.stream().map(Finding::render).collect(Collectors.joining("\n"));
    }
}
