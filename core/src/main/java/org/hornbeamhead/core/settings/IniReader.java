package org.hornbeamhead.core.settings;

import java.io.IOException;
import java.io.Reader;
import java.util.ArrayList;
import java.util.List;
import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/** Reads an INI text into sections that know their lines. Parsing itself is ini4j's. */
public final class IniReader {
    private final String source;
    private final Findings findings;

    /**
     * Makes a reader.
     *
     * @param source the file's name, for findings
     * @param findings receives what is wrong
     */
    public IniReader(String source, Findings findings) {
        this.source = source;
        this.findings = findings;
    }

    /**
     * Reads a text. Lines that cannot be read and keys given twice become findings.
     *
     * @param text the INI text
     * @return the sections in their order
     */
    public List<IniSection> read(String text) {
        LineFeed feed = new LineFeed(text);
        Collector collector = new Collector(feed);
        try {
            parser().parse(feed, collector);
        } catch (InvalidFileFormatException e) {
            findings.add(new Finding(source, feed.line(), "", "", "not an INI line: " + feed.current()));
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
     * Hands the parser one line a call. The parser reads no further than it must, so that the current line is that of
     * the entry being reported; ini4j itself does not tell it.
     */
    private static final class LineFeed extends Reader {
        private final String[] lines;
        private int next;
        private int offset;

        LineFeed(String text) {
            this.lines = text.split("\n", -1);
        }

        int line() {
            return next;
        }

        String current() {
            return next == 0 ? "" : lines[next - 1].trim();
        }

        @Override
        public int read(char[] buffer, int at, int length) {
            if (next == 0 || offset >= lines[next - 1].length() + 1) {
                if (next == lines.length) {
                    return -1;
                }
                next++;
                offset = 0;
            }
            String line = lines[next - 1] + "\n";
            int count = Math.min(length, line.length() - offset);
            line.getChars(offset, offset + count, buffer, at);
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

    private final class Collector implements IniHandler {
        private final LineFeed feed;
        private final List<IniSection> sections = new ArrayList<>();
        private List<IniEntry> entries = new ArrayList<>();
        private String name = "";
        private int headerLine;

        Collector(LineFeed feed) {
            this.feed = feed;
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
            headerLine = feed.line();
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
            IniEntry entry = new IniEntry(source, feed.line(), name, key.trim(), value == null ? "" : value.trim());
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
