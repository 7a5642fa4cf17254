package org.hornbeamhead.gateway.dispatch;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.hornbeamhead.core.engine.EngineCandidate;
import org.hornbeamhead.core.shortage.AdmissionQueue;
import org.hornbeamhead.core.shortage.AdmissionQueue.Bounds;
import org.hornbeamhead.core.shortage.EngineRoom;
import org.hornbeamhead.core.shortage.ServiceAdmission;
import org.hornbeamhead.core.shortage.WaitingRequest;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;

/**
 * The requests of deferrable routes that wait in this router while their engines are needed for more urgent ones.
 *
 * <p>Waiting requests are tried again when a request of this router ends, when another router tells of its load, and at
 * an interval. All state is lost with the process; callers of waiting requests then see a closed connection.
 */
final class DeferredRequests {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Interval at which waiting requests are tried again; slots that other routers free are seen only by it. */
    static final long INTERVAL_MILLIS = 20;
    /**
     * Shortest time between two tries. Dozens of hints may arrive in one interval, and each try evaluates all engines.
     */
    private static final long MIN_INTERVAL_MILLIS = 5;
    /** Retry delay of requests that are refused because the router stops; other routers take them at once. */
    private static final long STOP_RETRY_MILLIS = 20;

    private final Clock clock;
    private final Timers timers;
    private final Metrics metrics;
    private final DoubleSupplier fleetPerSecond;
    private final Map<String, Service> services = new HashMap<>();
    private boolean intervalPending;
    private boolean retryPending;
    private boolean stopped;
    private long lastTryAt;

    /** The state of one service, and the latest request that asked, by which its engines are found. */
    private static final class Service {
        private final ServiceAdmission<DeferrableRequest> admission = new ServiceAdmission<>();
        private DeferrableRequest latest;
    }

    /**
     * Creates an empty queue.
     *
     * @param clock the clock
     * @param timers the timers of the reactor
     * @param metrics the metrics of the process
     * @param fleetPerSecond supplies the requests of all routers, per second
     */
    DeferredRequests(Clock clock, Timers timers, Metrics metrics, DoubleSupplier fleetPerSecond) {
        this.clock = clock;
        this.timers = timers;
        this.metrics = metrics;
        this.fleetPerSecond = fleetPerSecond;
        metrics.gauge("hornbeam_deferred_waiting", this::waiting);
    }

    /** Records a new request of a service with deferrable routes. */
    void recordArrival(String service, boolean deferrable) {
        admission(service).recordArrival(deferrable, now());
    }

    /** Records that a new request of a service with deferrable routes was sent to an engine. */
    void recordSent(String service, boolean deferrable) {
        admission(service).recordSent(deferrable, now());
    }

    /** Books the return of a refused caller, in milliseconds from now. */
    long bookReturnMillis(String service, int priority, long timeLeftMillis) {
        return admission(service).bookReturnMillis(priority, timeLeftMillis, now());
    }

    /** Returns the engines with room for deferrable requests. */
    List<EngineCandidate> withRoom(String service, long urgentTargetMillis, List<EngineCandidate> engines) {
        return room(service, urgentTargetMillis).withRoom(engines, now());
    }

    /** Decides on a new deferrable request, now or later. */
    void ask(DeferrableRequest request) {
        Service service = service(request.service());
        service.latest = request;
        removeExpired(service);
        long now = now();
        WaitingRequest<DeferrableRequest> waiting = new WaitingRequest<>(
                request,
                request.customer(),
                request.priority(),
                request.size().tokens(),
                request.size().bodyBytes(),
                request.times().latestStartAt(),
                request.times().waitUntilMillis());
        AdmissionQueue.Offer<DeferrableRequest> offer =
                service.admission.offer(waiting, free(service), bounds(service), now);
        offer.displaced().forEach(displaced -> refuse(service, displaced.item(), "queue full"));
        switch (offer.decision()) {
            case SEND -> request.outcome().send();
            case WAIT -> startInterval();
            case REFUSE -> refuse(service, request, refusalReason(waiting, now));
        }
    }

    /** Returns what the other services leave of the bounds of this router. */
    private Bounds bounds(Service service) {
        int others = waiting() - service.admission.waiting();
        long otherBytes = services.values().stream()
                        .mapToLong(s -> s.admission.waitingBytes())
                        .sum()
                - service.admission.waitingBytes();
        return stopped
                ? new Bounds(0, 0)
                : new Bounds(Bounds.ROUTER.requests() - others, Bounds.ROUTER.bytes() - otherBytes);
    }

    private String refusalReason(WaitingRequest<DeferrableRequest> request, long now) {
        if (stopped) {
            return "stopping";
        }
        if (now >= request.latestStartMillis()) {
            return "late";
        }
        return now >= request.waitUntilMillis() ? "wait over" : "queue full";
    }

    /** Takes a request out because its caller left or its deadline passed; does nothing if it does not wait. */
    void leave(DeferrableRequest request) {
        service(request.service())
                .admission
                .removeAll(r -> r.item().equals(request))
                .forEach(r -> recordWait(request, "left"));
    }

    /** Tries the waiting requests again soon, since there may be room. */
    void retry() {
        if (waiting() > 0 && !retryPending) {
            retryPending = true;
            timers.schedule(Math.max(0, lastTryAt + MIN_INTERVAL_MILLIS - now()), () -> {
                retryPending = false;
                tryAll();
            });
        }
    }

    private void startInterval() {
        if (!intervalPending) {
            intervalPending = true;
            timers.schedule(INTERVAL_MILLIS, () -> {
                intervalPending = false;
                tryAll();
                if (waiting() > 0) {
                    startInterval();
                }
            });
        }
    }

    private void tryAll() {
        lastTryAt = now();
        services.values().forEach(this::tryWaiting);
    }

    private void tryWaiting(Service service) {
        removeExpired(service);
        while (service.admission.waiting() > 0) {
            List<DeferrableRequest> sent = service.admission.poll(Math.min(1, free(service)), now());
            if (sent.isEmpty()) {
                return;
            }
            sent.forEach(request -> {
                recordWait(request, "sent");
                request.outcome().send();
            });
        }
    }

    private void removeExpired(Service service) {
        long now = now();
        service.admission.expired(now).forEach(r -> refuse(service, r.item(), refusalReason(r, now)));
    }

    /** Refuses all waiting requests, since the router stops; none waits from now on. */
    void stop() {
        stopped = true;
        services.values().forEach(s -> s.admission.removeAll(r -> true).forEach(r -> refuse(s, r.item(), "stopping")));
    }

    private void refuse(Service service, DeferrableRequest request, String reason) {
        long now = now();
        long timeLeftMillis = request.times().deadline() - now;
        long returnMillis = stopped
                ? STOP_RETRY_MILLIS
                : service.admission.bookReturnMillis(request.priority(), timeLeftMillis, now);
        if (now > request.times().arrivedAt()) {
            recordWait(request, "refused");
        }
        metrics.count(
                "hornbeam_deferred_refusals",
                "route",
                request.route(),
                "customer",
                request.customer(),
                "reason",
                reason);
        logger.atInfo()
                .with(Logs.REQUEST, request.id())
                .with(Logs.DECISION, "refused under shortage")
                .with(Logs.REASON, reason)
                .with(Logs.INPUTS, inputs(service, request, now) + " returnMillis=" + returnMillis)
                .log("deferrable request refused: %s", reason);
        request.outcome().refuse("more urgent requests need the engines: " + reason, returnMillis);
    }

    private String inputs(Service service, DeferrableRequest request, long now) {
        EngineRoom room = room(request.service(), request.times().urgentTargetMillis());
        return "customer=" + request.customer() + " priority=" + request.priority() + " waiting="
                + service.admission.waiting() + " waitingBytes=" + service.admission.waitingBytes() + " waitedMillis="
                + (now - request.times().arrivedAt()) + " millisToLatestStart="
                + (request.times().latestStartAt() - now) + " "
                + DeferrableRequest.describe(room, free(service));
    }

    private void recordWait(DeferrableRequest request, String outcome) {
        metrics.time(
                "hornbeam_deferred_wait",
                Duration.ofMillis(now() - request.times().arrivedAt()),
                "route",
                request.route(),
                "outcome",
                outcome);
    }

    /** Returns the room at the engines; without a bound if none is known, so that requests get the usual answer. */
    private int free(Service service) {
        List<EngineCandidate> engines = service.latest.engines().get();
        return engines.isEmpty()
                ? Integer.MAX_VALUE
                : room(service.latest.service(), service.latest.times().urgentTargetMillis())
                        .room(engines, now());
    }

    private EngineRoom room(String service, long urgentTargetMillis) {
        return admission(service).room(fleetPerSecond.getAsDouble(), urgentTargetMillis, now());
    }

    private ServiceAdmission<DeferrableRequest> admission(String service) {
        return service(service).admission;
    }

    private Service service(String name) {
        return services.computeIfAbsent(name, n -> new Service());
    }

    /** Returns the number of waiting requests of all services. */
    int waiting() {
        return services.values().stream().mapToInt(s -> s.admission.waiting()).sum();
    }

    private long now() {
        return clock.monotonicMillis();
    }
}
