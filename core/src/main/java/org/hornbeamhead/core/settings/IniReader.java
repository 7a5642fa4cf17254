package org.hornbeamhead.core.settings;

import java.io.IOException;
import java.io.Reader;
import java.util.ArrayList;
import java.util.List;
import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/** Parses an INI text with ini4j into sections and entries that carry their line numbers. */
public final class IniReader {
    private final String source;
    private final Findings findings;

    /**
     * Creates a reader.
     *
     * @param source the name of the file, used in findings
     * @param findings receives the errors found
     */
    public IniReader(String source, Findings findings) {
        this.source = source;
        this.findings = findings;
    }

    /**
     * Parses a text. Invalid lines and duplicate sections and keys are added as findings.
     *
     * @param text the INI text
     * @return the sections in the order of the text
     */
    public List<IniSection> read(String text) {
        LineNumberTrackingReader reader = new LineNumberTrackingReader(text);
        SectionCollector collector = new SectionCollector(reader);
        try {
            parser().parse(reader, collector);
        } catch (InvalidFileFormatException e) {
            findings.add(new Finding(source, reader.line(), "", "", "not an INI line: " + reader.current()));
        } catch (IOException e) {
            throw new IllegalStateException("reading from memory failed", e);
        }
        return List.copyOf(collector.sections);
    }

    private static IniParser parser() {
        Config config = new Config();
        config.setMultiOption(true);
        config.setEscape(false);
        config.setInclude(false);
        config.setEmptyOption(true);
        return IniParser.newInstance(config);
    }

    /**
     * Supplies at most one line per read call. The parser does not read ahead, so that the current line is that of the
     * entry being reported; ini4j itself does not report line numbers.
     */
    private static final class LineNumberTrackingReader extends Reader {
        private final String[] lines;
        private int next;
        private int offset;

        LineNumberTrackingReader(String text) {
            this.lines = text.split("\n", -1);
        }

        int line() {
            return next;
        }

        String current() {
            return next == 0 ? "" : lines[next - 1].trim();
        }

        @Override
        public int read(char[] buffer, int start, int length) {
            if (next == 0 || offset >= lines[next - 1].length() + 1) {
                if (next == lines.length) {
                    return -1;
                }
                next++;
                offset = 0;
            }
            String line = lines[next - 1] + "\n";
            int count = Math.min(length, line.length() - offset);
            line.getChars(offset, offset + count, buffer, start);
            offset += count;
            return count;
        }

        @Override
        public boolean ready() {
            return false;
        }

        @Override
        public void close() {
            next = lines.length;
        }
    }

    private final class SectionCollector implements IniHandler {
        private final LineNumberTrackingReader reader;
        private final List<IniSection> sections = new ArrayList<>();
        private List<IniEntry> entries = new ArrayList<>();
        private String name = "";
        private int headerLine;

        SectionCollector(LineNumberTrackingReader reader) {
            this.reader = reader;
        }

        @Override
        public void startIni() {
            sections.clear();
        }

        @Override
        public void endIni() {
            entries = new ArrayList<>();
        }

        @Override
        public void startSection(String section) {
            name = section.trim();
            headerLine = reader.line();
            entries = new ArrayList<>();
            if (sections.stream().anyMatch(s -> s.name().equals(name))) {
                findings.add(new Finding(source, headerLine, name, "", "this section stands twice"));
            }
        }

        @Override
        public void endSection() {
            sections.add(new IniSection(source, headerLine, name, entries));
        }

        @Override
        public void handleOption(String key, String value) {
            IniEntry entry = new IniEntry(source, reader.line(), name, key.trim(), value == null ? "" : value.trim());
            if (entries.stream().anyMatch(e -> e.key().equals(entry.key()))) {
                findings.add(entry, "this key stands twice");
            }
            entries.add(entry);
        }

        @Override
        public void handleComment(String comment) {
            // Comments carry no settings.
        }
    }
}
