package org.hornbeamhead.router;

import io.vavr.control.Validation;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.hornbeamhead.core.settings.Finding;
import org.hornbeamhead.core.settings.SectionReader;
import org.hornbeamhead.daemon.Program.SettingsInput;
import org.hornbeamhead.daemon.SettingsSections;

/**
 * The settings of one router process.
 *
 * @param http where callers are served
 * @param peer where other routers are served (TCP for calls, UDP for gossip, the same port)
 * @param dataCentre the data centre that the host stands in
 * @param keyValue the platform's key-value service
 * @param hostList the platform's list of hosts
 * @param maxRequests how many requests are in work at once
 * @param batchQueue how many batch requests wait at once
 * @param answerTtl how long an address answer may be kept
 * @param hostListEvery how often the list of hosts is fetched
 * @param loadEvery how often engines are asked for their load
 */
public record RouterSettings(
        InetSocketAddress http,
        InetSocketAddress peer,
        String dataCentre,
        InetSocketAddress keyValue,
        InetSocketAddress hostList,
        int maxRequests,
        int batchQueue,
        Duration answerTtl,
        Duration hostListEvery,
        Duration loadEvery) {
    private static final int MAX_REQUESTS = 2_000;
    private static final int BATCH_QUEUE = 10_000;
    private static final Duration ANSWER_TTL = Duration.ofSeconds(2);
    private static final Duration HOST_LIST_EVERY = Duration.ofMillis(500);
    private static final Duration LOAD_EVERY = Duration.ofMillis(200);

    /**
     * Reads the settings.
     *
     * @param input the file's sections
     * @return the settings, or every finding
     */
    public static Validation<List<Finding>, RouterSettings> read(SettingsInput input) {
        SettingsSections in = new SettingsSections(input, List.of("listen", "site", "platform", "limits"));
        SectionReader listen = in.section("listen");
        SectionReader site = in.section("site");
        SectionReader platform = in.section("platform");
        SectionReader limits = in.section("limits");
        RouterSettings settings = new RouterSettings(
                SettingsSections.address(listen, "http"),
                SettingsSections.address(listen, "peer"),
                site.required("data-centre", SectionReader::nonEmpty, ""),
                SettingsSections.address(platform, "key-value"),
                SettingsSections.address(platform, "host-list"),
                limits.positiveInteger("requests").orElse(MAX_REQUESTS),
                limits.positiveInteger("batch-queue").orElse(BATCH_QUEUE),
                limits.duration("answer-ttl").orElse(ANSWER_TTL),
                limits.duration("host-list-every").orElse(HOST_LIST_EVERY),
                limits.duration("load-every").orElse(LOAD_EVERY));
        List.of(listen, site, platform, limits).forEach(SectionReader::reportUnknownKeys);
        return in.findings().toValidation(() -> settings);
    }
}
