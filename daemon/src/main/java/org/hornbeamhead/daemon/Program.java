package org.hornbeamhead.daemon;

import io.vavr.control.Validation;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.hornbeamhead.core.settings.Finding;
import org.hornbeamhead.core.settings.Findings;
import org.hornbeamhead.core.settings.IniReader;
import org.hornbeamhead.core.settings.IniSection;

/**
 * The command line of a daemon: a settings file, a check of it, help.
 *
 * @param name the program's name
 * @param purpose what it does, on one line
 * @param settings reads the settings out of the sections
 * @param daemon runs it until its end
 * @param <S> the settings
 */
public record Program<S>(
        String name,
        String purpose,
        Function<SettingsInput, Validation<List<Finding>, S>> settings,
        DaemonRun<S> daemon) {
    /**
     * The sections of a settings file, and where to put what is wrong with it.
     *
     * @param source the file's name
     * @param sections the sections
     * @param findings receives what is wrong
     */
    public record SettingsInput(String source, List<IniSection> sections, Findings findings) {}

    /**
     * Runs a daemon.
     *
     * @param <S> the settings
     */
    @FunctionalInterface
    public interface DaemonRun<S> {
        /**
         * Runs until the end.
         *
         * @param settings the settings
         * @throws IOException when an address cannot be bound
         */
        void run(S settings) throws IOException;
    }

    /**
     * Does what the command line says.
     *
     * @param args the arguments
     * @return the exit code
     */
    public ExitCode run(String... args) {
        OptionParser parser = new OptionParser();
        OptionSpec<String> file =
                parser.accepts("settings", "the settings file (INI)").withRequiredArg();
        OptionSpec<Void> check = parser.accepts("check", "check the settings file and end");
        OptionSpec<Void> help =
                parser.acceptsAll(List.of("help", "h"), "print this help").forHelp();
        try {
            OptionSet options = parser.parse(args);
            if (options.has(help)) {
                printHelp(parser, System.out);
                return ExitCode.OK;
            }
            if (!options.has(file) || !options.nonOptionArguments().isEmpty()) {
                printHelp(parser, System.err);
                return ExitCode.USAGE;
            }
            return read(Path.of(options.valueOf(file)), options.has(check));
        } catch (OptionException e) {
            System.err.println(name + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private void printHelp(OptionParser parser, PrintStream out) {
        out.println(name + ": " + purpose);
        out.println("usage: " + name + " --settings FILE [--check]");
        try {
            parser.printHelpOn(out);
        } catch (IOException e) {
            throw new IllegalStateException("the help cannot be printed", e);
        }
        out.println("exit codes: 0 ended as asked, 1 failed, 2 wrong command line or settings");
    }

    private ExitCode read(Path file, boolean checkOnly) {
        String text;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            System.err.println(name + ": cannot read " + file + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
        Findings findings = new Findings();
        String source = file.getFileName().toString();
        List<IniSection> sections = new IniReader(source, findings).read(text);
        return settings.apply(new SettingsInput(source, sections, findings))
                .fold(this::refuse, s -> checkOnly ? ExitCode.OK : start(s));
    }

    private ExitCode refuse(List<Finding> found) {
        System.err.println(Findings.render(found));
        return ExitCode.USAGE;
    }

    private ExitCode start(S read) {
        try {
            daemon.run(read);
            return ExitCode.OK;
        } catch (IOException e) {
            System.err.println(name + ": " + e.getMessage());
            return ExitCode.FAILED;
        }
    }
}
