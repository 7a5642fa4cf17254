package org.hornbeamhead.soak.promise;

import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Brittle;

/** The promise about replicas that fall over when they have to turn too many requests away. */
final class BrittleChecks {
    /** Falls that are allowed in one time in which a service is brittle, beside a part of its replicas. */
    private static final int ALLOWED_FALLS = 2;

    private static final double ALLOWED_PART = 0.1;

    private BrittleChecks() {}

    /** In one time in which replicas of a service are brittle, hardly any of them falls over. */
    static Stream<Breach> brittleReplicas(History h) {
        return h.brittle().stream().flatMap(b -> tooManyFalls(h, b));
    }

    private static Stream<Breach> tooManyFalls(History h, Brittle brittle) {
        long falls = h.fallen().stream()
                .filter(f -> f.service().equals(brittle.service()))
                .filter(f -> f.at() >= brittle.from() && f.at() <= brittle.to())
                .count();
        return falls > ALLOWED_FALLS + ALLOWED_PART * brittle.replicas()
                ? Stream.of(new Breach("brittle replicas", falls + " falls of " + brittle.service(), brittle.from()))
                : Stream.empty();
    }
}
