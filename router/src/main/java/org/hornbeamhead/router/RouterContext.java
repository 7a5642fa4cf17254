package org.hornbeamhead.router;

import java.util.SplittableRandom;
import org.hornbeamhead.core.config.ConfigHolder;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Metrics;

/**
 * What all parts of one router process share.
 *
 * @param settings the process's settings
 * @param clock the machine's clocks
 * @param timers the reactor's timers
 * @param random randomness for choices; not for secrets
 * @param connections connections to endpoints
 * @param metrics the process's metrics
 * @param config the configuration in force
 * @param health how the classes stand against their targets
 * @param quarantine which requests may not run
 * @param availability which endpoints take requests
 */
record RouterContext(
        RouterSettings settings,
        Clock clock,
        Timers timers,
        SplittableRandom random,
        Connections connections,
        Metrics metrics,
        ConfigHolder config,
        ClassHealth health,
        Quarantine quarantine,
        EndpointAvailability availability) {}
