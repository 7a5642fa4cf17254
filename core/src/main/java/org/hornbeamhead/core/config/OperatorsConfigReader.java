package org.hornbeamhead.core.config;

import io.vavr.control.Either;
import io.vavr.control.Validation;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.hornbeamhead.core.settings.Finding;
import org.hornbeamhead.core.settings.Findings;
import org.hornbeamhead.core.settings.IniEntry;
import org.hornbeamhead.core.settings.IniReader;
import org.hornbeamhead.core.settings.IniSection;
import org.hornbeamhead.core.settings.SectionReader;

/** Reads the operators' INI text and reports all of its errors together. */
public final class OperatorsConfigReader {
    private static final Pattern ADDRESS = Pattern.compile(".*\\b\\d{1,3}(\\.\\d{1,3}){3}\\b.*");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Set<String> FORBIDDEN_KEYS =
            Set.of("weight", "priority", "share", "address", "addresses", "replica", "replicas", "host", "hosts");

    private final Findings findings = new Findings();
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Pool> pools = new HashMap<>();
    private final Map<String, Customer> customers = new HashMap<>();
    private final Map<String, IniSection> customerSections = new HashMap<>();
    private String fleet = "";
    private ZoneId zone = ZoneOffset.UTC;

    private OperatorsConfigReader() {}

    /**
     * Parses and validates a configuration text.
     *
     * @param source the name of the file, used in findings
     * @param text the INI text
     * @return the configuration, or all findings
     */
    public static Validation<List<Finding>, OperatorsConfig> read(String source, String text) {
        OperatorsConfigReader reader = new OperatorsConfigReader();
        List<IniSection> sections = new IniReader(source, reader.findings).read(text);
        sections.forEach(reader::readSection);
        reader.checkReferences(source);
        return reader.findings.toValidation(
                () -> new OperatorsConfig(reader.fleet, reader.zone, reader.classes, reader.pools, reader.customers));
    }

    private void readSection(IniSection section) {
        section.entries().forEach(this::checkForbiddenContent);
        SectionReader in = new SectionReader(section, findings);
        switch (section.kind()) {
            case "fleet" -> fleet(in);
            case "class" -> readNamedSection(section, name -> classes.put(name, requestClass(section, in)));
            case "pool" -> readNamedSection(section, name -> pools.put(name, pool(section, in)));
            case "customer" -> readNamedSection(section, name -> {
                customers.put(name, customer(name, in));
                customerSections.put(name, section);
            });
            default -> {
                findings.add(new Finding(
                        section.source(),
                        section.line(),
                        section.name(),
                        "",
                        "unknown section; known are [fleet], [class NAME], [pool NAME] and [customer NAME]"));
                return;
            }
        }
        in.reportUnknownKeys();
    }

    private void readNamedSection(IniSection section, Consumer<String> read) {
        if (section.title().isEmpty()) {
            findings.add(new Finding(
                    section.source(), section.line(), section.name(), "", "the section needs a name after its kind"));
        }
        read.accept(section.title());
    }

    private void checkForbiddenContent(IniEntry entry) {
        if (FORBIDDEN_KEYS.contains(entry.key())) {
            findings.add(entry, "operators state targets; the system itself sets weights and finds addresses");
        }
        if (ADDRESS.matcher(entry.value()).matches()) {
            findings.add(entry, "addresses come from the list of hosts, never from this file");
        }
    }

    private void fleet(SectionReader in) {
        fleet = in.required("name", SectionReader::nonEmpty, "");
        zone = in.optional("time-zone", OperatorsConfigReader::zone).orElse(ZoneOffset.UTC);
    }

    private RequestClass requestClass(IniSection section, SectionReader in) {
        String kind = in.required("kind", text -> oneOf(text, "interactive", "batch"), "interactive");
        Optional<Duration> first = in.duration("first-token");
        Optional<Duration> between = in.duration("between-tokens");
        Optional<LocalTime> by = in.optional("finish-by", OperatorsConfigReader::timeOfDay);
        Optional<Duration> within = in.duration("finish-within");
        boolean batch = kind.equals("batch");
        if (batch) {
            reportUnexpected(
                    section, "first-token", first, "a batch class has a time to finish, not a first token's target");
            reportUnexpected(section, "between-tokens", between, "a batch class has no target between tokens");
            if (by.isEmpty() && within.isEmpty()) {
                reportMissing(section, "finish-by", "a batch class states finish-by or finish-within");
            }
        } else {
            reportUnexpected(section, "finish-by", by, "an interactive class states first-token, not a time to finish");
            reportUnexpected(
                    section, "finish-within", within, "an interactive class states first-token, not a time to finish");
            if (first.isEmpty()) {
                reportMissing(section, "first-token", "an interactive class states first-token");
            }
        }
        return new RequestClass(
                section.title(),
                batch,
                first.orElse(Duration.ZERO),
                between.orElse(first.orElse(Duration.ZERO)),
                by,
                within);
    }

    private Pool pool(IniSection section, SectionReader in) {
        boolean engine = in.required("kind", text -> oneOf(text, "engine", "service"), "engine")
                .equals("engine");
        Optional<String> model = in.text("model");
        Optional<String> weights = in.text("weights");
        List<String> adapters = in.names("adapters");
        List<String> notRepeatable = in.names("not-repeatable");
        if (engine) {
            if (model.isEmpty()) {
                reportMissing(section, "model", "a pool of engines states its model");
            }
            if (weights.isEmpty()) {
                reportMissing(section, "weights", "a pool of engines states the version of its weights");
            }
            reportUnexpected(
                    section, "not-repeatable", section.entry("not-repeatable"), "only services have such calls");
        } else {
            reportUnexpected(section, "model", model, "a pool of services has no model");
            reportUnexpected(section, "weights", weights, "a pool of services has no weights");
        }
        return new Pool(section.title(), engine, model.orElse(""), weights.orElse(""), adapters, notRepeatable);
    }

    private Customer customer(String name, SectionReader in) {
        return new Customer(
                name,
                in.required("key-sha256", OperatorsConfigReader::sha256, ""),
                in.names("classes"),
                in.names("pools"));
    }

    private void checkReferences(String source) {
        if (fleet.isEmpty()) {
            findings.add(new Finding(source, 0, "fleet", "name", "the fleet's name is missing"));
        }
        customers.values().forEach(this::checkCustomer);
    }

    private void checkCustomer(Customer customer) {
        IniSection section = customerSections.get(customer.name());
        checkNames(section, "classes", customer.classes(), classes.keySet());
        checkNames(section, "pools", customer.pools(), pools.keySet());
        boolean duplicateKey = customers.values().stream()
                .anyMatch(o ->
                        o.name().compareTo(customer.name()) < 0 && o.keySha256().equals(customer.keySha256()));
        if (duplicateKey) {
            section.entry("key-sha256").ifPresent(e -> findings.add(e, "another customer has the same key"));
        }
    }

    private void checkNames(IniSection section, String key, List<String> used, Set<String> known) {
        if (used.isEmpty()) {
            reportMissing(section, key, "a customer without " + key + " could use nothing");
        }
        used.stream().filter(n -> !known.contains(n)).forEach(n -> section.entry(key)
                .ifPresent(e -> findings.add(e, "'" + n + "' is not defined in this file")));
    }

    private void reportUnexpected(IniSection section, String key, Optional<?> value, String message) {
        value.flatMap(v -> section.entry(key)).ifPresent(entry -> findings.add(entry, message));
    }

    private void reportMissing(IniSection section, String key, String message) {
        findings.add(new Finding(section.source(), section.line(), section.name(), key, message));
    }

    private static Either<String, String> oneOf(String text, String a, String b) {
        return text.equals(a) || text.equals(b)
                ? Either.right(text)
                : Either.left("'" + text + "' is neither " + a + " nor " + b);
    }

    private static Either<String, String> sha256(String text) {
        return SHA256.matcher(text).matches()
                ? Either.right(text)
                : Either.left("needs the 64 lower-case hexadecimal digits of a SHA-256");
    }

    private static Either<String, ZoneId> zone(String text) {
        try {
            return Either.right(ZoneId.of(text));
        } catch (DateTimeException e) {
            return Either.left("'" + text + "' is no time zone");
        }
    }

    private static Either<String, LocalTime> timeOfDay(String text) {
        try {
            return Either.right(LocalTime.parse(text));
        } catch (DateTimeException e) {
            return Either.left("'" + text + "' is no time of day; write it as 06:00");
        }
    }
}
