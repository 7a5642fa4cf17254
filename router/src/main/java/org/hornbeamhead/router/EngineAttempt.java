package org.hornbeamhead.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.hornbeamhead.core.stream.CorruptStreamException;
import org.hornbeamhead.core.stream.SseParser;
import org.hornbeamhead.core.stream.StreamCheck;
import org.hornbeamhead.core.stream.StreamEvent;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.HttpReply;
import org.hornbeamhead.daemon.Json;

/** One try of a request at one engine: its connection, and the check that its events are the request's own. */
final class EngineAttempt {
    private static final String ID_PREFIX = "chatcmpl-";
    private static final String END_MARK = "[DONE]";
    private static final Duration END_LIMIT = Duration.ofSeconds(1);
    private static final Duration CANCEL_LIMIT = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY = 429;
    private static final int SERVER_ERROR = 500;

    private final RouterContext context;
    private final Connections connections;
    private final String address;
    private final String attemptId;
    private final StreamCheck check;
    private final Deque<StreamEvent> ready = new ArrayDeque<>();
    private SseParser parser = new SseParser();
    private ChannelSupplier<ByteBuf> body;

    EngineAttempt(RouterContext context, String address, String attemptId) {
        this.context = context;
        this.connections = context.connections();
        this.address = address;
        this.attemptId = attemptId;
        this.check = new StreamCheck(attemptId);
    }

    /** Sends the request. Completes when the engine has begun to answer. */
    Promise<Void> open(String path, String json, Duration limit) {
        HttpRequest request = HttpRequest.post("http://" + address + path)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(HttpHeaders.of("X-Request-Id"), attemptId)
                .withBody(json.getBytes(StandardCharsets.UTF_8))
                .build();
        return begin(connections.kept(address), request, limit);
    }

    /** Asks for the events after the last one passed on, over a new connection. */
    Promise<Void> resume(Duration limit) {
        connections.retire(address);
        closeBody();
        check.resume();
        parser = new SseParser();
        HttpRequest.Builder request = HttpRequest.get(streamUrl());
        if (check.next() > 0) {
            request.withHeader(HttpHeaders.of("Last-Event-ID"), Long.toString(check.next() - 1));
        }
        return begin(connections.fresh(), request.build(), limit);
    }

    private Promise<Void> begin(HttpCaller caller, HttpRequest request, Duration limit) {
        long sentAt = context.clock().monotonicMillis();
        context.availability().recordSend(address);
        return caller.open(request, limit).then(r -> begun(r, sentAt), e -> Promise.ofException(lost(e)));
    }

    private Promise<Void> begun(HttpResponse response, long sentAt) {
        context.availability().observe(address, response, sentAt, attemptId);
        if (response.getCode() == OK) {
            body = response.takeBodyStream();
            return Promise.complete();
        }
        return HttpCaller.load(response, END_LIMIT).then(reply -> Promise.ofException(refused(reply)));
    }

    private static AttemptException refused(HttpReply reply) {
        boolean later = reply.status() >= SERVER_ERROR || reply.status() == CONFLICT || reply.status() == TOO_MANY;
        // A stream that is not known is no reason to blame the caller: the engine came back cold.
        boolean gone = reply.status() == 404;
        AttemptFailure failure = later || gone ? AttemptFailure.REFUSED : AttemptFailure.REJECTED;
        return new AttemptException(failure, "engine answered " + reply.status(), reply);
    }

    private static AttemptException lost(Exception e) {
        AttemptFailure failure = e instanceof ConnectException ? AttemptFailure.NOT_SENT : AttemptFailure.LOST;
        return new AttemptException(failure, e.toString());
    }

    /** Gives the next event in order, or null after the end mark. */
    Promise<StreamEvent> next(Duration silence) {
        if (!ready.isEmpty()) {
            return Promise.of(ready.poll());
        }
        if (check.isComplete()) {
            finishBody();
            return Promise.of(null);
        }
        return Promises.timeout(silence, body.get()).then(buf -> take(buf, silence), e -> Promise.ofException(lost(e)));
    }

    private Promise<StreamEvent> take(ByteBuf buf, Duration silence) {
        if (buf == null) {
            return Promise.ofException(new AttemptException(AttemptFailure.LOST, "the stream ended without its mark"));
        }
        try {
            byte[] bytes = buf.asArray();
            for (SseParser.Event event : parser.feed(bytes, 0, bytes.length)) {
                List<StreamEvent> passed = check.accept(read(event));
                ready.addAll(passed);
            }
        } catch (CorruptStreamException e) {
            return Promise.ofException(new AttemptException(AttemptFailure.CORRUPT, e.getMessage()));
        }
        return next(silence);
    }

    private static StreamEvent read(SseParser.Event event) throws CorruptStreamException {
        long sequence = sequence(event.id());
        if (event.data().equals(END_MARK)) {
            return new StreamEvent(sequence, "", event.data(), true);
        }
        String scanned = EngineEvent.idOf(event.data());
        String id = scanned.isEmpty() ? parseId(event.data()) : scanned;
        return new StreamEvent(
                sequence, id.startsWith(ID_PREFIX) ? id.substring(ID_PREFIX.length()) : id, event.data(), false);
    }

    private static String parseId(String data) throws CorruptStreamException {
        JsonNode json = Json.parse(data).getOrNull();
        if (!(json instanceof ObjectNode)) {
            throw new CorruptStreamException("an event of the stream is no JSON object");
        }
        return json.path("id").asText("");
    }

    private static long sequence(String id) {
        try {
            return Long.parseLong(id);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /**
     * Reads the end of the body behind the end mark. The connection would otherwise stay open and never be used again.
     */
    private void finishBody() {
        if (body != null) {
            ChannelSupplier<ByteBuf> rest = body;
            body = null;
            Promises.timeout(END_LIMIT, rest.streamTo(ChannelConsumers.recycling()))
                    .whenException(e -> rest.closeEx(e));
        }
    }

    /** Gives the attempt up and tells the engine, so that it does not go on for nobody. */
    void cancel() {
        closeBody();
        if (!check.isComplete()) {
            connections.fresh().call(HttpMethod.DELETE, streamUrl(), "", CANCEL_LIMIT);
        }
    }

    private void closeBody() {
        if (body != null) {
            body.close();
            body = null;
        }
    }

    private String streamUrl() {
        return "http://" + address + "/v1/streams/" + attemptId;
    }
}
