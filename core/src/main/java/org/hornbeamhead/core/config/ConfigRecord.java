package org.hornbeamhead.core.config;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One entry of the configuration's log, which is the audit trail: who changed what, when and why.
 *
 * @param version counts the changes from 1
 * @param changeId drawn by the author's program, so that a lost answer can be settled by reading the entry back
 * @param author who changed it
 * @param wallMillis when, by the author's clock, in milliseconds since the Unix epoch
 * @param reason why, on one line
 * @param full the whole text; empty when the entry tells only the changed sections
 * @param changes the changed sections; empty when the entry holds the whole text
 */
public record ConfigRecord(
        long version,
        String changeId,
        String author,
        long wallMillis,
        String reason,
        Optional<String> full,
        List<SectionChange> changes) {
    private static final String FULL = "full";
    private static final String EDIT = "edit";
    private static final String SET = "set ";
    private static final String REMOVE = "remove ";

    /** Copies the changes and puts author and reason on one line each. */
    public ConfigRecord {
        changes = List.copyOf(changes);
        author = oneLine(author);
        reason = oneLine(reason);
    }

    /**
     * Applies the entry.
     *
     * @param base the document of the version before; not looked at when the entry holds the whole text
     * @return the document of this version
     */
    public ConfigDocument apply(ConfigDocument base) {
        return full.map(ConfigDocument::of).orElseGet(() -> base.apply(changes));
    }

    /**
     * Writes the entry.
     *
     * @return the text that {@link #read} takes
     */
    public String format() {
        StringBuilder s = new StringBuilder();
        header(s, "version", Long.toString(version));
        header(s, "change", changeId);
        header(s, "author", author);
        header(s, "time", Long.toString(wallMillis));
        header(s, "reason", reason);
        header(s, "kind", full.isPresent() ? FULL : EDIT);
        s.append('\n');
        full.ifPresentOrElse(s::append, () -> changes.forEach(c -> formatChange(s, c)));
        return s.toString();
    }

    private static void header(StringBuilder s, String key, String value) {
        s.append(key).append(": ").append(value).append('\n');
    }

    private static void formatChange(StringBuilder s, SectionChange change) {
        change.text()
                .ifPresentOrElse(
                        t -> s.append(SET)
                                .append(t.lines().count())
                                .append(' ')
                                .append(change.name())
                                .append('\n')
                                .append(t),
                        () -> s.append(REMOVE).append(change.name()).append('\n'));
    }

    /**
     * Reads an entry.
     *
     * @param text the value in the platform's service
     * @return the entry, or why the text is none
     */
    public static Either<String, ConfigRecord> read(String text) {
        return Try.of(() -> parse(text)).toEither().mapLeft(e -> "a configuration entry cannot be read: " + e);
    }

    private static ConfigRecord parse(String text) {
        int blank = text.indexOf("\n\n");
        if (blank < 0) {
            throw new IllegalArgumentException("a configuration entry has no header");
        }
        Map<String, String> headers = text.substring(0, blank)
                .lines()
                .map(line -> line.split(": ", 2))
                .collect(Collectors.toMap(p -> p[0], p -> p.length > 1 ? p[1] : ""));
        String body = text.substring(blank + 2);
        boolean whole = FULL.equals(headers.get("kind"));
        return new ConfigRecord(
                Long.parseLong(headers.get("version")),
                headers.get("change"),
                headers.get("author"),
                Long.parseLong(headers.get("time")),
                headers.get("reason"),
                whole ? Optional.of(body) : Optional.empty(),
                whole ? List.of() : parseChanges(body.lines().toList()));
    }

    private static List<SectionChange> parseChanges(List<String> lines) {
        List<SectionChange> changes = new ArrayList<>();
        int at = 0;
        while (at < lines.size()) {
            String line = lines.get(at++);
            if (line.startsWith(REMOVE)) {
                changes.add(new SectionChange(line.substring(REMOVE.length()), Optional.empty()));
            } else {
                String[] parts = line.split(" ", 3);
                int count = Integer.parseInt(parts[1]);
                String section = lines.subList(at, at + count).stream().collect(Collectors.joining("\n", "", "\n"));
                changes.add(new SectionChange(parts[2], Optional.of(count == 0 ? "" : section)));
                at += count;
            }
        }
        return changes;
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\s+", " ").trim();
    }
}
