package org.hornbeamhead.router;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.hornbeamhead.core.outcome.Outcome;
import org.hornbeamhead.core.outcome.Reason;
import org.hornbeamhead.daemon.Json;

/**
 * A model's answer on its way to a caller, as server-sent events. It pulls from the exchange as the caller's connection
 * takes, and ends with the mark only when the whole answer was passed on.
 */
final class CallerStream extends AbstractChannelSupplier<ByteBuf> {
    private enum Phase {
        EVENTS,
        END_MARK,
        DONE
    }

    private final EngineExchange exchange;
    private final String requestId;
    private final Consumer<Outcome> settled;
    private EngineEvent first;
    private Phase phase = Phase.EVENTS;

    /**
     * Makes a stream.
     *
     * @param exchange gives the events
     * @param requestId the caller's request id
     * @param first the first event, already pulled
     * @param settled hears the outcome, once
     */
    CallerStream(EngineExchange exchange, String requestId, EngineEvent first, Consumer<Outcome> settled) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.first = first;
        this.settled = settled;
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        return switch (phase) {
            case EVENTS -> pull();
            case END_MARK -> endMark();
            case DONE -> Promise.of(null);
        };
    }

    private Promise<ByteBuf> pull() {
        if (first != null) {
            EngineEvent event = first;
            first = null;
            return Promise.of(event(event.data()));
        }
        return exchange.next().then(this::passOn, this::broken);
    }

    private Promise<ByteBuf> passOn(EngineEvent event) {
        return event == null ? endMark() : Promise.of(event(event.data()));
    }

    private Promise<ByteBuf> endMark() {
        phase = Phase.DONE;
        settled.accept(new Outcome.Completed(200));
        return Promise.of(event("[DONE]"));
    }

    /** The answer cannot be completed: the caller is told in the stream, and the end mark never comes. */
    private Promise<ByteBuf> broken(Exception e) {
        phase = Phase.DONE;
        Refusal refusal =
                e instanceof RefusedException refused ? refused.refusal() : Refusals.unknown(Reason.ENDPOINT_LOST);
        settled.accept(refusal.outcome());
        return Promise.of(event(Json.write(Refusals.body(requestId, refusal))));
    }

    private static ByteBuf event(String data) {
        return ByteBuf.wrapForReading(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    protected void onClosed(Exception e) {
        if (phase != Phase.DONE) {
            phase = Phase.DONE;
            exchange.cancel();
            settled.accept(new Outcome.Unknown(Reason.CALLER_GONE));
        }
    }
}
