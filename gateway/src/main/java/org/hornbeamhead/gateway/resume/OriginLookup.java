package org.hornbeamhead.gateway.resume;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hornbeamhead.core.resume.SoftwareVersion;

/**
 * The search for the software that began one stream. A version that a router remembers decides. If none does, the only
 * version of the service decides, but not before the list of replicas is confirmed: the stream may have begun on a
 * version that this router has not heard of.
 */
final class OriginLookup {
    /** What a lookup found its version by. */
    enum Source {
        /** A router remembers the stream. */
        REMEMBERED,
        /** The service has had one version only. */
        SOLE_VERSION,
        /** The list names one version only, and could not be confirmed. */
        UNCONFIRMED,
        /** The service has had several versions. */
        UNKNOWN
    }

    /**
     * What a lookup found.
     *
     * @param software the version, empty if it is not known
     * @param source what it was found by
     * @param search the answers of other routers
     */
    record Finding(Optional<SoftwareVersion> software, Source source, OriginExchange.Result search) {}

    private final Supplier<Optional<SoftwareVersion>> soleVersion;
    private final Consumer<Finding> listener;
    private Optional<OriginExchange.Result> search = Optional.empty();
    private Optional<Boolean> confirmed = Optional.empty();
    private boolean ended;

    /**
     * Creates a lookup that waits for the answers of other routers and for the confirmation of the list.
     *
     * @param soleVersion supplies the only version that the service has had, as far as the list tells
     * @param listener receives the finding, once
     */
    OriginLookup(Supplier<Optional<SoftwareVersion>> soleVersion, Consumer<Finding> listener) {
        this.soleVersion = soleVersion;
        this.listener = listener;
    }

    void searched(OriginExchange.Result result) {
        search = Optional.of(result);
        endIfDecided();
    }

    void confirmed(boolean complete) {
        confirmed = Optional.of(complete);
        endIfDecided();
    }

    boolean hasEnded() {
        return ended;
    }

    private void endIfDecided() {
        if (!ended) {
            search.flatMap(this::decide).ifPresent(finding -> {
                ended = true;
                listener.accept(finding);
            });
        }
    }

    private Optional<Finding> decide(OriginExchange.Result result) {
        if (result.software().isPresent()) {
            return Optional.of(new Finding(result.software(), Source.REMEMBERED, result));
        }
        Optional<SoftwareVersion> sole = soleVersion.get();
        if (sole.isEmpty()) {
            return Optional.of(new Finding(sole, Source.UNKNOWN, result));
        }
        return confirmed.map(complete -> complete
                ? new Finding(sole, Source.SOLE_VERSION, result)
                : new Finding(Optional.empty(), Source.UNCONFIRMED, result));
    }
}
