package org.hornbeamhead.core.config;

import io.vavr.control.Validation;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hornbeamhead.core.settings.Finding;

/**
 * The configuration in force in one process. It only ever moves to a higher version.
 *
 * <p>Failure: a stale answer of the platform's service, or a peer back from a long pause, hands out an older version.
 * Symptom: an accepted change reverts on some hosts. Versions are given out once and in order, so that to refuse the
 * lower one is enough.
 */
public final class ConfigHolder {
    private final List<Consumer<OperatorsConfig>> listeners = new ArrayList<>();
    private ConfigState state = ConfigState.NONE;
    private OperatorsConfig config = OperatorsConfig.EMPTY;

    /**
     * Registers who wants to know of new configurations.
     *
     * @param listener called with each one, in order of their versions
     */
    public void onChange(Consumer<OperatorsConfig> listener) {
        listeners.add(listener);
    }

    /**
     * Offers a state.
     *
     * @param offered the state
     * @return true when it was newer and is now in force
     */
    public boolean offer(ConfigState offered) {
        if (offered.version() <= state.version()) {
            return false;
        }
        Validation<List<Finding>, OperatorsConfig> read = OperatorsConfigReader.read(
                "version " + offered.version(), offered.document().text());
        state = offered;
        // A text that this program cannot read was accepted by a newer one. The version still counts, so that it
        // spreads.
        read.forEach(c -> {
            config = c;
            listeners.forEach(l -> l.accept(c));
        });
        return true;
    }

    /**
     * Offers entries from a peer.
     *
     * @param records the entries, oldest first
     * @return true when they led to a newer version
     */
    public boolean offer(List<ConfigRecord> records) {
        ConfigState next = state;
        for (ConfigRecord record : records) {
            boolean follows = record.version() == next.version() + 1;
            if (record.version() > next.version() && (follows || record.full().isPresent())) {
                next = next.with(record);
            }
        }
        return offer(next);
    }

    /**
     * Returns the state in force.
     *
     * @return the state; version 0 before the first
     */
    public ConfigState state() {
        return state;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration; empty before the first
     */
    public OperatorsConfig config() {
        return config;
    }
}
