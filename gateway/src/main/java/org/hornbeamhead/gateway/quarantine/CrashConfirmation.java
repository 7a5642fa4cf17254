package org.hornbeamhead.gateway.quarantine;

import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.vavr.control.Try;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.HttpReply;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.path.ReplicaPaths;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaConnectionPool.Check;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;

/**
 * Confirms that a replica has ended whose host refuses connections of this router. A host that has lost its path sees
 * the same, and would count a crash against every request that it had in progress.
 *
 * <p>Another replica must accept a connection from here, and another router must not reach the replica.
 */
public final class CrashConfirmation {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The path at which routers are asked whether they reach a replica. */
    public static final String PATH = "/v1/replica-check";

    private static final String RUN_PARAMETER = "run";
    private static final Duration TIMEOUT = Duration.ofMillis(400);
    /** Other replicas may have ended as well, so that one that does not accept a connection proves little. */
    private static final int MAX_CONTROLS = 4;

    private static final int MAX_WITNESSES = 2;

    private final Clock clock;
    private final HttpCaller client;
    private final Random random;
    private final ReplicaRegistry registry;
    private final ReplicaPaths paths;
    private final Supplier<List<String>> witnesses;

    /**
     * Creates a confirmation.
     *
     * @param clock the clock
     * @param client calls other routers
     * @param random the source of randomness
     * @param registry the replicas
     * @param paths the paths of this host
     * @param witnesses supplies the addresses of other routers for requests between routers
     */
    public CrashConfirmation(
            Clock clock,
            HttpCaller client,
            Random random,
            ReplicaRegistry registry,
            ReplicaPaths paths,
            Supplier<List<String>> witnesses) {
        this.clock = clock;
        this.client = client;
        this.random = random;
        this.registry = registry;
        this.paths = paths;
        this.witnesses = witnesses;
    }

    /**
     * Confirms the end of a replica whose host has refused a connection.
     *
     * @param replica the replica
     * @return true if nothing indicates that this host has lost its path
     */
    public Promise<Boolean> confirm(LiveReplica replica) {
        return reachesOthers(replica).then(reaches -> {
            if (!reaches) {
                log(replica, "this host reaches no other replica");
                return Promise.of(false);
            }
            return askNext(replica, shuffled(witnesses.get(), MAX_WITNESSES).iterator());
        });
    }

    private Promise<Boolean> askNext(LiveReplica replica, Iterator<String> left) {
        if (!left.hasNext()) {
            return Promise.of(true);
        }
        String witness = left.next();
        String url = "http://" + witness + PATH + '?' + RUN_PARAMETER + '=' + replica.runHash();
        return client.call(HttpMethod.GET, url, "", TIMEOUT)
                .map(HttpReply::body, e -> "")
                .then(answer -> {
                    if (answer.equals(Check.OPENED.name())) {
                        log(replica, "router " + witness + " reaches it");
                        return Promise.of(false);
                    }
                    return answer.equals(Check.REFUSED.name()) ? Promise.of(true) : askNext(replica, left);
                });
    }

    /**
     * Answers another router whether this host reaches a replica.
     *
     * @param request the question
     * @return the result of the check, not answered if this host may have lost its path
     */
    public Promise<HttpResponse> handle(HttpRequest request) {
        return Try.of(() -> Integer.parseInt(request.getQueryParameter(RUN_PARAMETER)))
                .toJavaOptional()
                .flatMap(registry::byRunHash)
                .map(this::check)
                .orElse(Promise.of(Check.UNANSWERED))
                .then(result -> HttpAnswers.text(200, "text/plain", result.name()));
    }

    private Promise<Check> check(LiveReplica replica) {
        return replica.connections()
                .check()
                .then(result -> result == Check.REFUSED
                        ? reachesOthers(replica).map(reaches -> reaches ? Check.REFUSED : Check.UNANSWERED)
                        : Promise.of(result));
    }

    /**
     * Returns whether another replica accepts a connection; true if there is no other. Replicas that are known to have
     * crashed prove nothing: when all others of a service have, replicas of other services are tried.
     */
    private Promise<Boolean> reachesOthers(LiveReplica replica) {
        String service = replica.entry().service();
        List<LiveReplica> controls = controls(replica, r -> r.entry().service().equals(service));
        if (!controls.isEmpty()) {
            return paths.isLost(service) ? Promise.of(false) : anyOpens(controls.iterator());
        }
        List<LiveReplica> others = controls(replica, r -> true);
        return others.isEmpty() ? Promise.of(true) : anyOpens(others.iterator());
    }

    private List<LiveReplica> controls(LiveReplica replica, Predicate<LiveReplica> condition) {
        long now = clock.monotonicMillis();
        List<LiveReplica> others = registry.all().stream()
                .filter(r -> r != replica && r.isInService() && !r.hasCrashed())
                .filter(condition)
                .toList();
        return shuffled(others, others.size()).stream()
                .sorted(Comparator.comparing(r -> r.guard().isEjected(now)))
                .limit(MAX_CONTROLS)
                .toList();
    }

    private static Promise<Boolean> anyOpens(Iterator<LiveReplica> left) {
        if (!left.hasNext()) {
            return Promise.of(false);
        }
        return left.next()
                .connections()
                .check()
                .then(result -> result == Check.OPENED ? Promise.of(true) : anyOpens(left));
    }

    private <T> List<T> shuffled(List<T> items, int limit) {
        List<T> copy = new ArrayList<>(items);
        Collections.shuffle(copy, random);
        return copy.stream().limit(limit).toList();
    }

    private static void log(LiveReplica replica, String reason) {
        logger.atInfo()
                .with(Logs.DECISION, "replica not reached")
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.REASON, reason)
                .log(
                        "replica refuses connections, which is no proof of its end: %s",
                        replica.entry().id());
    }
}
