package org.hornbeamhead.core.config;

import io.vavr.control.Validation;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hornbeamhead.core.settings.Finding;

/**
 * The active configuration of a process. Its version never decreases.
 *
 * <p>A stale reply of the platform's service, or a peer that resumes after a long pause, can supply an older version,
 * which would revert an accepted change on some hosts. Each version is assigned once and in order, so rejecting lower
 * versions is sufficient.
 */
public final class ConfigHolder {
    private final List<Consumer<OperatorsConfig>> listeners = new ArrayList<>();
    private ConfigState state = ConfigState.NONE;
    private OperatorsConfig config = OperatorsConfig.EMPTY;

    /**
     * Registers a listener for new configurations.
     *
     * @param listener called with each new configuration, in version order
     */
    public void onChange(Consumer<OperatorsConfig> listener) {
        listeners.add(listener);
    }

    /**
     * Activates a state if it is newer than the active one.
     *
     * @param offered the state
     * @return true if the state was newer and is now active
     */
    public boolean offer(ConfigState offered) {
        if (offered.version() <= state.version()) {
            return false;
        }
        Validation<List<Finding>, OperatorsConfig> read = OperatorsConfigReader.read(
                "version " + offered.version(), offered.document().text());
        state = offered;
        // A text that this program cannot read was accepted by a newer program. The version is still adopted, so that
        // it propagates to peers.
        read.forEach(c -> {
            config = c;
            listeners.forEach(l -> l.accept(c));
        });
        return true;
    }

    /**
     * Applies log entries received from a peer.
     *
     * @param records the entries, oldest first
     * @return true if they led to a newer version
     */
    public boolean offer(List<ConfigRecord> records) {
        ConfigState next = state;
        for (ConfigRecord record : records) {
            boolean follows = record.version() == next.version() + 1;
            if (record.version() > next.version()
                    && (follows || record.fullText().isPresent())) {
                next = next.with(record);
            }
        }
        return offer(next);
    }

    /**
     * Returns the active state.
     *
     * @return the state; version 0 before the first configuration
     */
    public ConfigState state() {
        return state;
    }

    /**
     * Returns the active configuration.
     *
     * @return the configuration; empty before the first one
     */
    public OperatorsConfig config() {
        return config;
    }
}
