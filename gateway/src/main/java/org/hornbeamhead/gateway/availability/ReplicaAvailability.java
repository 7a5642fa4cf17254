package org.hornbeamhead.gateway.availability;

import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.hornbeamhead.core.availability.Unavailability;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.limit.BrittleReplicas;
import org.hornbeamhead.gateway.limit.ReplicaLimits;
import org.hornbeamhead.gateway.path.ReplicaPaths;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** Decides whether this router may send a request to a replica now, and when a caller may return if none takes it. */
public final class ReplicaAvailability {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Clock clock;
    private final ReplicaLimits limits;
    private final BrittleReplicas brittleReplicas;
    private final ReplicaPaths paths;
    private final Predicate<String> isRouterAddress;

    /**
     * Creates the decision.
     *
     * @param clock the clock
     * @param limits the request limits of replicas
     * @param brittleReplicas the limits of brittle replicas
     * @param paths the paths of this host
     * @param isRouterAddress returns whether a router listens at an address
     */
    public ReplicaAvailability(
            Clock clock,
            ReplicaLimits limits,
            BrittleReplicas brittleReplicas,
            ReplicaPaths paths,
            Predicate<String> isRouterAddress) {
        this.clock = clock;
        this.limits = limits;
        this.brittleReplicas = brittleReplicas;
        this.paths = paths;
        this.isRouterAddress = isRouterAddress;
    }

    /**
     * Returns why a replica may not get a request now.
     *
     * @param replica the replica
     * @return the reason, empty if it may get one
     */
    public Optional<Unavailability> check(LiveReplica replica) {
        return checkPlaced(replica)
                .or(() -> brittleReplicas.accepts(replica) ? Optional.empty() : Optional.of(Unavailability.BRITTLE));
    }

    /**
     * Returns why a replica may not get a request that already counts in its load.
     *
     * @param replica the replica
     * @return the reason, empty if it may get the request
     */
    public Optional<Unavailability> checkPlaced(LiveReplica replica) {
        return check(replica, limits::accepts);
    }

    /**
     * Returns what {@link #check} would return, and changes nothing.
     *
     * @param replica the replica
     * @return the reason, empty if it may get a request
     */
    public Optional<Unavailability> peek(LiveReplica replica) {
        return check(replica, limits::wouldAccept)
                .or(() ->
                        brittleReplicas.wouldAccept(replica) ? Optional.empty() : Optional.of(Unavailability.BRITTLE));
    }

    private Optional<Unavailability> check(LiveReplica replica, Predicate<LiveReplica> withinLimit) {
        if (replica.isEntryInvalid()) {
            return Optional.of(Unavailability.INVALID_ENTRY);
        }
        if (isRouterAddress.test(replica.entry().address())) {
            return Optional.of(Unavailability.ROUTER_ADDRESS);
        }
        if (paths.isLost(replica.entry().service())) {
            return Optional.of(Unavailability.NO_PATH);
        }
        if (replica.isLeaving()) {
            return Optional.of(Unavailability.LEAVING);
        }
        if (isBackingOff(replica)) {
            return Optional.of(Unavailability.BACK_OFF);
        }
        return withinLimit.test(replica) ? Optional.empty() : Optional.of(Unavailability.REQUEST_LIMIT);
    }

    private boolean isBackingOff(LiveReplica replica) {
        return replica.notices().hasAskedToBackOff() && replica.notices().isBackingOff(clock.monotonicMillis());
    }

    /**
     * Returns whether a replica may get a request now.
     *
     * @param replica the replica
     * @return true if nothing is against it
     */
    public boolean accepts(LiveReplica replica) {
        return check(replica).isEmpty();
    }

    /**
     * Books the return of a caller whose request no replica of a service takes now.
     *
     * @param replicas the replicas of the service
     * @param request the id of the request, for the log
     * @return the time until the first of them takes requests again, in milliseconds; empty if one takes them now, or
     *     if none is known to take them again
     */
    public OptionalLong bookReturnMillis(List<LiveReplica> replicas, String request) {
        if (replicas.stream().anyMatch(this::accepts)) {
            return OptionalLong.empty();
        }
        OptionalLong returnMillis = replicas.stream()
                .filter(LiveReplica::isInService)
                .filter(r -> !paths.isLost(r.entry().service()))
                .min(Comparator.comparingLong(this::returnAtMillis))
                .map(first -> OptionalLong.of(bookReturnMillis(first, request)))
                .orElse(OptionalLong.empty());
        logRefusal(replicas, request, returnMillis);
        return returnMillis;
    }

    /**
     * Returns the time that {@link #bookReturnMillis} would book for replicas of which none takes requests, and books
     * nothing.
     *
     * @param replicas the replicas of the service
     * @return the time in milliseconds; empty if none is known to take requests again
     */
    public OptionalLong peekReturnMillis(List<LiveReplica> replicas) {
        return replicas.stream()
                .filter(LiveReplica::isInService)
                .filter(r -> !paths.isLost(r.entry().service()))
                .mapToLong(r -> Math.max(0, returnAtMillis(r) - clock.monotonicMillis()))
                .min();
    }

    private long returnAtMillis(LiveReplica replica) {
        return Math.max(replica.notices().backOffUntilMillis(), limits.nextReturnMillis(replica));
    }

    private long bookReturnMillis(LiveReplica replica, String request) {
        long backOffMillis = replica.notices().backOffUntilMillis() - clock.monotonicMillis();
        return Math.max(backOffMillis, limits.bookReturnMillis(replica, request));
    }

    private void logRefusal(List<LiveReplica> replicas, String request, OptionalLong returnMillis) {
        Map<Unavailability, Long> reasons = replicas.stream()
                .flatMap(r -> check(r).stream())
                .collect(Collectors.groupingBy(Function.identity(), TreeMap::new, Collectors.counting()));
        logger.atInfo()
                .with(Logs.REQUEST, request)
                .with(Logs.DECISION, "no replica available")
                .with(
                        Logs.INPUTS,
                        "unavailable=" + reasons + " returnMillis="
                                + (returnMillis.isPresent() ? returnMillis.getAsLong() : "unknown"))
                .log("none of %d replicas is available", replicas.size());
    }
}
