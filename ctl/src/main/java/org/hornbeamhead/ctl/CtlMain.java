package org.hornbeamhead.ctl;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.hornbeamhead.core.config.OperatorsConfigReader;
import org.hornbeamhead.core.settings.Findings;
import org.hornbeamhead.daemon.ExitCode;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.daemon.Logs;

/** The operators' command line. */
public final class CtlMain {
    private static final String USAGE =
            """
            usage: hornbeamctl COMMAND [ARGUMENT] [OPTIONS]

              check FILE      check an operators' file, without any connection
              show            print the configuration in force, with its version on the first line
              apply FILE      make FILE the configuration; needs --reason
              diff FILE       tell which sections of FILE differ from the configuration in force
              history         print who changed what, when and why, newest last
              status          print the fleet, the replicas, and the classes against their targets
              explain         print where a router would send a request now, and why; needs --router (its metrics
                              address), --host and --path; nothing is sent
              drain ADDRESS   let an endpoint take no new work; needs --reason
              undrain ADDRESS end that
              drains          print all drain orders

            exit codes: 0 done, 1 failed, 2 wrong command line, file or field of explain,
                        3 another operator's change came first, 4 not known whether the change was made
            """;

    private static final Set<String> CHANGES = Set.of("apply", "drain", "undrain");

    private final OptionParser parser = new OptionParser();
    private final OptionSpec<String> platform = parser.accepts(
                    "platform", "address of the platform's key-value service")
            .withRequiredArg();
    private final OptionSpec<String> router = parser.accepts(
                    "router", "address of an entry host, for status; metrics address, for explain")
            .withRequiredArg();
    private final OptionSpec<String> author = parser.accepts("author", "who makes the change")
            .withRequiredArg()
            .defaultsTo(System.getProperty("user.name"));
    private final OptionSpec<String> reason =
            parser.accepts("reason", "why the change is made").withRequiredArg().defaultsTo("");
    private final OptionSpec<Long> base = parser.accepts("base", "version that FILE was made from")
            .withRequiredArg()
            .ofType(Long.class);
    private final Map<String, OptionSpec<String>> explained = new LinkedHashMap<>();
    private final OptionSpec<Void> json = parser.accepts("json", "print JSON");
    private final OptionSpec<Void> help =
            parser.acceptsAll(List.of("help", "h"), "print this help").forHelp();

    private CtlMain() {
        explainOption("host", "host", "requested host");
        explainOption("path", "path", "requested path");
        explainOption("key", "key", "API key of the customer");
        explainOption("id", "id", "request id, which selects one of several services of a route");
        explainOption("model", "model", "model");
        explainOption("prompt", "prompt", "parts of the prompt in order, ID:TOKENS,...");
        explainOption("max-output-tokens", "max_output_tokens", "maximum length of the answer");
        explainOption("expected-output-tokens", "expected_output_tokens", "expected length of the answer");
    }

    private void explainOption(String option, String field, String description) {
        explained.put(
                field, parser.accepts(option, description + ", for explain").withRequiredArg());
    }

    /**
     * Runs a command.
     *
     * @param args the command line; see {@code --help}
     */
    public static void main(String[] args) {
        Logs.configure();
        System.exit(new CtlMain().run(args).code());
    }

    private ExitCode run(String... args) {
        try {
            OptionSet options = parser.parse(args);
            List<String> words =
                    options.nonOptionArguments().stream().map(Object::toString).toList();
            if (options.has(help)) {
                System.out.print(USAGE);
                parser.printHelpOn(System.out);
                return ExitCode.OK;
            }
            return words.isEmpty() ? usage("a command is missing") : settled(words, options);
        } catch (OptionException | IllegalArgumentException e) {
            return usage(e.getMessage());
        } catch (IOException e) {
            System.err.println("hornbeamctl: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    /** A change whose task failed may have been made. */
    private ExitCode settled(List<String> words, OptionSet options) throws IOException {
        try {
            return command(words, options);
        } catch (TaskFailedException e) {
            System.err.println("hornbeamctl: " + e.getMessage());
            return CHANGES.contains(words.get(0)) ? ExitCode.IN_DOUBT : ExitCode.FAILED;
        }
    }

    private ExitCode command(List<String> words, OptionSet options) throws IOException {
        String name = words.get(0);
        return switch (name) {
            case "check" -> check(argument(words), options);
            case "show", "history", "drains" -> {
                noArgument(words);
                yield config(options).print(name);
            }
            case "apply" -> config(options).apply(readChecked(words), author(options), base(options));
            case "diff" -> config(options).diff(readFile(argument(words)));
            case "drain", "undrain" -> config(options).drain(argument(words), author(options), name.equals("drain"));
            case "status" -> StatusCommand.run(router(name, options), options.has(json));
            case "explain" -> {
                noArgument(words);
                yield ExplainCommand.run(router(name, options), explainedFields(options), options.has(json));
            }
            default -> usage("unknown command '" + name + "'");
        };
    }

    private String router(String command, OptionSet options) {
        return Optional.ofNullable(options.valueOf(router))
                .orElseThrow(() -> new IllegalArgumentException(command + " needs --router"));
    }

    private Map<String, String> explainedFields(OptionSet options) {
        Map<String, String> fields = new LinkedHashMap<>();
        explained.forEach((field, option) -> {
            if (options.has(option)) {
                fields.put(field, options.valueOf(option));
            }
        });
        return fields;
    }

    private ExitCode check(String file, OptionSet options) throws IOException {
        return OperatorsConfigReader.read(Path.of(file).getFileName().toString(), readFile(file))
                .fold(
                        findings -> {
                            System.out.println(options.has(json) ? Json.write(findings) : Findings.render(findings));
                            return ExitCode.USAGE;
                        },
                        config -> {
                            System.out.println(options.has(json) ? "[]" : file + ": no findings");
                            return ExitCode.OK;
                        });
    }

    private String readChecked(List<String> words) throws IOException {
        String file = argument(words);
        String text = readFile(file);
        return OperatorsConfigReader.read(Path.of(file).getFileName().toString(), text)
                .fold(
                        findings -> {
                            throw new IllegalArgumentException("nothing was applied\n" + Findings.render(findings));
                        },
                        config -> text);
    }

    private ConfigCommands config(OptionSet options) {
        String address = Optional.ofNullable(options.valueOf(platform))
                .orElseThrow(() -> new IllegalArgumentException("this command needs --platform"));
        return new ConfigCommands(address, options.has(json));
    }

    private ConfigCommands.Author author(OptionSet options) {
        return new ConfigCommands.Author(options.valueOf(author), options.valueOf(reason));
    }

    private Optional<Long> base(OptionSet options) {
        return Optional.ofNullable(options.valueOf(base));
    }

    private static String readFile(String file) throws IOException {
        return Files.readString(Path.of(file), StandardCharsets.UTF_8);
    }

    private static String argument(List<String> words) {
        if (words.size() != 2) {
            throw new IllegalArgumentException("'" + words.get(0) + "' needs exactly one argument");
        }
        return words.get(1);
    }

    private static void noArgument(List<String> words) {
        if (words.size() != 1) {
            throw new IllegalArgumentException("'" + words.get(0) + "' takes no argument");
        }
    }

    private static ExitCode usage(String message) {
        System.err.println("hornbeamctl: " + message);
        System.err.println("hornbeamctl --help lists the commands");
        return ExitCode.USAGE;
    }
}
