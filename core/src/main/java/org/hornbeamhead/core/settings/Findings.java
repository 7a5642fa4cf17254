package org.hornbeamhead.core.settings;

import io.vavr.control.Validation;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** Collects the findings of one input, so that all of them are reported together. */
public final class Findings {
    private final List<Finding> list = new ArrayList<>();

    /**
     * Adds a finding.
     *
     * @param finding the finding
     */
    public void add(Finding finding) {
        list.add(finding);
    }

    /**
     * Adds a finding for an INI entry.
     *
     * @param entry the invalid entry
     * @param message what is wrong
     */
    public void add(IniEntry entry, String message) {
        list.add(new Finding(entry.source(), entry.line(), entry.section(), entry.key(), message));
    }

    /**
     * Returns whether there are no findings.
     *
     * @return true if no finding was added
     */
    public boolean isEmpty() {
        return list.isEmpty();
    }

    /**
     * Returns the findings added so far.
     *
     * @return an immutable copy, in the order of addition
     */
    public List<Finding> toList() {
        return List.copyOf(list);
    }

    /**
     * Returns a valid value if there are no findings, or else all findings.
     *
     * @param value supplies the value; called only if there are no findings
     * @param <T> the type of the value
     * @return the value, or all findings
     */
    public <T> Validation<List<Finding>, T> toValidation(Supplier<T> value) {
        return list.isEmpty() ? Validation.valid(value.get()) : Validation.invalid(toList());
    }

    /**
     * Formats findings, one per line.
     *
     * @param findings the findings
     * @return the text
     */
    public static String render(List<Finding> findings) {
        return findings.stream().map(Finding::render).collect(Collectors.joining("\n"));
    }
}
