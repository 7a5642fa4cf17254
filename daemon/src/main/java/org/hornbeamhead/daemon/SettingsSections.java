package org.hornbeamhead.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.hornbeamhead.core.settings.Addresses;
import org.hornbeamhead.core.settings.Finding;
import org.hornbeamhead.core.settings.Findings;
import org.hornbeamhead.core.settings.IniSection;
import org.hornbeamhead.core.settings.SectionReader;

/** Reads the sections of a daemon's settings file and reports the unknown ones. */
public final class SettingsSections {
    /** Stands in for an address that is missing, so that reading can go on to further findings. */
    public static final InetSocketAddress NO_ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final Program.SettingsInput input;

    /**
     * Makes a reader.
     *
     * @param input the file's sections
     * @param known the names of all sections that the program reads
     */
    public SettingsSections(Program.SettingsInput input, List<String> known) {
        this.input = input;
        input.sections().stream().filter(s -> !known.contains(s.name())).forEach(s -> input.findings()
                .add(new Finding(
                        s.source(), s.line(), s.name(), "", "unknown section; known are " + String.join(", ", known))));
    }

    /**
     * Opens a section.
     *
     * @param name its name
     * @return a reader of it; of an empty one when it is absent
     */
    public SectionReader section(String name) {
        Optional<IniSection> found =
                input.sections().stream().filter(s -> s.name().equals(name)).findFirst();
        return new SectionReader(
                found.orElseGet(() -> new IniSection(input.source(), 0, name, List.of())), input.findings());
    }

    /**
     * Reads an address that must be there.
     *
     * @param section the section
     * @param key the key
     * @return the address, or a stand-in with a finding
     */
    public static InetSocketAddress address(SectionReader section, String key) {
        return section.required(key, Addresses::parse, NO_ADDRESS);
    }

    /**
     * Returns the collector of findings.
     *
     * @return the findings
     */
    public Findings findings() {
        return input.findings();
    }
}
