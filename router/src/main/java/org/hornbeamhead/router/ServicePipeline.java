package org.hornbeamhead.router;

import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import org.hornbeamhead.core.claim.Claim;
import org.hornbeamhead.core.claim.ClaimResult;
import org.hornbeamhead.core.config.Customer;
import org.hornbeamhead.core.config.Pool;
import org.hornbeamhead.core.crash.LostAttempt;
import org.hornbeamhead.core.outcome.Outcome;
import org.hornbeamhead.core.outcome.Reason;
import org.hornbeamhead.core.settings.Finding;
import org.hornbeamhead.core.ticket.Ticket;
import org.hornbeamhead.core.ticket.TicketRegistry;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.Logs;

/**
 * The way of a call to a plain service: identify, claim if it must run at most once, place, dispatch, answer.
 *
 * <p>A call that must run at most once is dispatched over a new connection, so that a refused connection is proof that
 * nothing was sent. Any other failure after dispatch is answered as unknown, and never followed by a second dispatch.
 */
final class ServicePipeline {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String PREFIX = "/v1/services/";
    private static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");
    private static final int BODY_LIMIT = 8 << 20;
    private static final Duration CALL_LIMIT = Duration.ofSeconds(5);
    private static final Duration COME_BACK = Duration.ofMillis(500);
    private static final Duration CLAIM_COME_BACK = Duration.ofSeconds(1);
    private static final int MAX_ATTEMPTS = 3;
    /** An endpoint's own failures are 5xx. */
    private static final int FIRST_FAILURE = 500;

    private final RouterContext context;
    private final PoolDirectory pools;
    private final RunningRequests running;
    private final ClaimAgent claims;
    private final TicketRegistry tickets;

    ServicePipeline(
            RouterContext context,
            PoolDirectory pools,
            RunningRequests running,
            ClaimAgent claims,
            TicketRegistry tickets) {
        this.context = context;
        this.pools = pools;
        this.running = running;
        this.claims = claims;
        this.tickets = tickets;
    }

    Promise<HttpResponse> serve(HttpRequest http) {
        RequestHead head = RequestHead.of(http);
        Optional<Refusal> closed = running.refusal();
        if (closed.isPresent()) {
            return refuse(head, closed.get());
        }
        running.started();
        return http.loadBody(BODY_LIMIT)
                .then(buf -> identify(head, http, buf.getArray()))
                .whenComplete(running::ended);
    }

    private Promise<HttpResponse> identify(RequestHead head, HttpRequest http, byte[] body) {
        Optional<Customer> customer = context.config().config().customerByKey(head.keySha256());
        if (customer.isEmpty()) {
            return refuse(head, Refusals.notRun(Reason.UNKNOWN_CUSTOMER, Duration.ZERO));
        }
        String rest = http.getPathAndQuery().substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        Pool pool = context.config().config().pools().get(name);
        boolean allowed =
                pool != null && !pool.isEngine() && customer.get().pools().contains(name);
        if (!allowed) {
            return refuse(head, Refusals.notRun(Reason.NOT_ALLOWED, Duration.ZERO));
        }
        ServiceCall call = new ServiceCall(head, customer.get(), name, path, body);
        OptionalLong held = context.quarantine().heldMillis(call::fingerprint);
        if (held.isPresent()) {
            return refuse(head, Refusals.notRun(Reason.HELD_BACK, Duration.ofMillis(held.getAsLong())));
        }
        boolean once = head.notRepeatable() || pool.isNotRepeatable(head.method(), path);
        return once ? claim(call) : dispatch(call, new ServiceTries(false));
    }

    private Promise<HttpResponse> claim(ServiceCall call) {
        String key = call.head().idempotencyKey();
        Optional<Ticket> ticket = Ticket.parse(key);
        if (ticket.isPresent()) {
            return spend(call, ticket.get());
        }
        Optional<UUID> id = readId(key);
        if (id.isEmpty()) {
            Finding finding = new Finding(
                    "header",
                    0,
                    "",
                    "Idempotency-Key",
                    "a call that must run at most once needs a UUID of version 7, or a ticket, as its id");
            return refuse(call.head(), Refusals.malformed(List.of(finding)));
        }
        SettablePromise<HttpResponse> answer = new SettablePromise<>();
        claims.claim(id.get()).whenComplete((result, e) -> claimed(call, e == null ? result : ClaimResult.IN_DOUBT)
                .subscribe(answer::set));
        return answer;
    }

    private static Optional<UUID> readId(String key) {
        try {
            return Optional.of(UUID.fromString(key)).filter(Claim::hasIssueTime);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private Promise<HttpResponse> claimed(ServiceCall call, ClaimResult result) {
        context.metrics().count("hornbeam_claims", "result", result.name());
        return switch (result) {
            case GRANTED -> dispatch(call, new ServiceTries(true));
            case TAKEN -> refuse(call.head(), Refusals.unknown(Reason.ALREADY_CLAIMED));
            case EXPIRED -> refuse(call.head(), Refusals.unknown(Reason.ID_EXPIRED));
            case UNAVAILABLE -> refuse(call.head(), Refusals.notRun(Reason.CLAIM_UNAVAILABLE, CLAIM_COME_BACK));
            case IN_DOUBT -> refuse(call.head(), Refusals.unknown(Reason.CLAIM_IN_DOUBT));
        };
    }

    private Promise<HttpResponse> spend(ServiceCall call, Ticket ticket) {
        return switch (tickets.spend(ticket)) {
            case GRANTED -> dispatch(call, new ServiceTries(true));
            case SPENT -> refuse(call.head(), Refusals.unknown(Reason.ALREADY_CLAIMED));
            case EXPIRED -> refuse(call.head(), Refusals.unknown(Reason.ID_EXPIRED));
            case HOLDER_GONE -> refuse(call.head(), Refusals.unknown(Reason.TICKET_HOLDER_LOST));
            case FOREIGN -> forward(call, ticket);
        };
    }

    /** Only the router that issued a ticket may run its request, so the call goes there. */
    private Promise<HttpResponse> forward(ServiceCall call, Ticket ticket) {
        boolean known = pools.entries().stream().anyMatch(e -> e.address().equals(ticket.address()));
        if (!known) {
            return refuse(call.head(), Refusals.unknown(Reason.TICKET_HOLDER_LOST));
        }
        HttpRequest request = call.toRouter(ticket.address(), PREFIX);
        return Promises.timeout(
                        CALL_LIMIT.multipliedBy(2),
                        context.connections().fresh().open(request, CALL_LIMIT.multipliedBy(2)))
                .then(
                        response -> relay(call, response),
                        e -> refuse(call.head(), Refusals.unknown(Reason.TICKET_HOLDER_LOST)));
    }

    private Promise<HttpResponse> dispatch(ServiceCall call, ServiceTries tries) {
        ServicePool pool = pools.service(call.pool());
        Optional<String> address = pool.choose(tries.addresses());
        if (address.isEmpty()) {
            return refuse(call.head(), unplaced(pool, tries));
        }
        long sentAt = context.clock().monotonicMillis();
        context.availability().recordSend(address.get());
        HttpCaller caller = tries.once()
                ? context.connections().fresh()
                : context.connections().kept(address.get());
        return Promises.timeout(
                        CALL_LIMIT,
                        caller.open(call.toService(address.get()), CALL_LIMIT).then(response -> {
                            context.availability()
                                    .observe(
                                            address.get(),
                                            response,
                                            sentAt,
                                            call.head().id());
                            return relay(call, response);
                        }))
                .then(
                        response -> {
                            pool.ended(address.get(), true);
                            answered(call, response.getCode());
                            return Promise.of(response);
                        },
                        e -> failed(call, pool, address.get(), tries, sentAt, e));
    }

    private static Refusal unplaced(ServicePool pool, ServiceTries tries) {
        Reason reason = tries.addresses().isEmpty() ? Reason.NO_REPLICA : Reason.TRIES_EXHAUSTED;
        return pool.bookReturn()
                .map(refused -> tries.refusal(refused.reason(), refused.retryAfter()))
                .orElseGet(() -> tries.refusal(reason, COME_BACK));
    }

    /** An endpoint may fail before it begins, so that only another answer shows that the call ran to its end. */
    private void answered(ServiceCall call, int status) {
        if (status < FIRST_FAILURE) {
            context.quarantine().completed(call::fingerprint);
        }
    }

    private Promise<HttpResponse> failed(
            ServiceCall call, ServicePool pool, String address, ServiceTries tries, long sentAt, Exception e) {
        if (e instanceof ConnectException && (tries.once() || tries.count() + 1 < MAX_ATTEMPTS)) {
            // No connection was opened, so nothing was sent: the claim still stands, and another replica may run it.
            pool.unreachable(address);
            return dispatch(call, tries.unsent(address));
        }
        pool.ended(address, false);
        context.connections().retire(address);
        if (e instanceof ConnectException) {
            return next(call, pool, tries.unsent(address));
        }
        LostAttempt run =
                new LostAttempt(call.fingerprint(), sentAt, context.clock().monotonicMillis());
        return context.connections().refused(address).then(ended -> {
            if (ended) {
                context.quarantine().crashed(run, address);
            }
            return next(call, pool, tries.lost(address));
        });
    }

    private Promise<HttpResponse> next(ServiceCall call, ServicePool pool, ServiceTries tries) {
        boolean again = !tries.once()
                && tries.count() < MAX_ATTEMPTS
                && context.quarantine().heldMillis(call::fingerprint).isEmpty()
                && pool.retries().tryAcquire();
        return again ? dispatch(call, tries) : refuse(call.head(), tries.refusal(Reason.TRIES_EXHAUSTED, COME_BACK));
    }

    private Promise<HttpResponse> relay(ServiceCall call, HttpResponse response) {
        return HttpCaller.loadBytes(response, CALL_LIMIT, BODY_LIMIT).then(body -> {
            settled(call.head(), call.customer().name(), new Outcome.Completed(response.getCode()));
            return copy(call, response, body);
        });
    }

    private static Promise<HttpResponse> copy(ServiceCall call, HttpResponse response, byte[] body) {
        String outcome = response.getHeader(Refusals.OUTCOME);
        String type = response.getHeader(HttpHeaders.CONTENT_TYPE);
        return HttpResponse.ofCode(response.getCode())
                .withHeader(HttpHeaders.CONTENT_TYPE, type == null ? "application/octet-stream" : type)
                .withHeader(HttpHeaders.of("X-Request-Id"), call.head().id())
                .withHeader(Refusals.OUTCOME, outcome == null ? "completed" : outcome)
                .withBody(body)
                .toPromise();
    }

    private Promise<HttpResponse> refuse(RequestHead head, Refusal refusal) {
        settled(head, "", refusal.outcome());
        return Refusals.answer(head.id(), refusal);
    }

    private void settled(RequestHead head, String customer, Outcome outcome) {
        String reason = outcome instanceof Outcome.Completed
                ? ""
                : Refusals.reason(outcome).wireName();
        context.metrics().count("hornbeam_service_calls", "outcome", Refusals.outcomeName(outcome), "reason", reason);
        logger.atInfo()
                .with(Logs.REQUEST, head.id())
                .with(Logs.CUSTOMER, customer)
                .with(Logs.DECISION, Refusals.outcomeName(outcome))
                .with(Logs.REASON, reason)
                .log("service call settled");
    }

    /** Names the header that carries a call's id. */
    static HttpHeader idempotencyKey() {
        return IDEMPOTENCY_KEY;
    }
}
