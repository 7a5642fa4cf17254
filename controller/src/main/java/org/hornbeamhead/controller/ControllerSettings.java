package org.hornbeamhead.controller;

import io.vavr.control.Validation;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.hornbeamhead.core.settings.Finding;
import org.hornbeamhead.core.settings.SectionReader;
import org.hornbeamhead.daemon.Program.SettingsInput;
import org.hornbeamhead.daemon.SettingsSections;

/**
 * The settings of one controller process.
 *
 * @param http where health and metrics are shown
 * @param entryAddress the router's address on the same host, which names the host in the list
 * @param keyValue the platform's key-value service
 * @param hostList the platform's list of hosts
 * @param leaseTtl how long a lease lasts without renewal
 * @param step how often the pools are looked at
 */
public record ControllerSettings(
        InetSocketAddress http,
        InetSocketAddress entryAddress,
        InetSocketAddress keyValue,
        InetSocketAddress hostList,
        Duration leaseTtl,
        Duration step) {
    private static final Duration LEASE_TTL = Duration.ofSeconds(6);
    private static final Duration STEP = Duration.ofSeconds(1);
    private static final int STEPS_PER_LEASE = 3;

    /**
     * Reads the settings.
     *
     * @param input the file's sections
     * @return the settings, or every finding
     */
    public static Validation<List<Finding>, ControllerSettings> read(SettingsInput input) {
        SettingsSections in = new SettingsSections(input, List.of("listen", "site", "platform", "limits"));
        SectionReader listen = in.section("listen");
        SectionReader site = in.section("site");
        SectionReader platform = in.section("platform");
        SectionReader limits = in.section("limits");
        ControllerSettings settings = new ControllerSettings(
                SettingsSections.address(listen, "http"),
                SettingsSections.address(site, "entry"),
                SettingsSections.address(platform, "key-value"),
                SettingsSections.address(platform, "host-list"),
                limits.duration("lease").orElse(LEASE_TTL),
                limits.duration("step").orElse(STEP));
        if (settings.step().multipliedBy(STEPS_PER_LEASE).compareTo(settings.leaseTtl()) > 0) {
            in.findings()
                    .add(new Finding(
                            input.source(), 0, "limits", "lease", "must be at least three times as long as step"));
        }
        List.of(listen, site, platform, limits).forEach(SectionReader::reportUnknownKeys);
        return in.findings().toValidation(() -> settings);
    }
}
