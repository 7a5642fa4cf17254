package org.hornbeamhead.clients;

import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import java.net.ConnectException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreEntry;
import org.hornbeamhead.core.store.StoreReply;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.HttpReply;
import org.hornbeamhead.daemon.Json;

/** The platform's key-value service over HTTP. */
public final class HttpKeyValueStore implements KeyValueStore {
    /** A program that runs finds another way while the service is silent; answers take milliseconds. */
    public static final Duration DAEMON_CALL_LIMIT = Duration.ofMillis(500);
    /**
     * Failure: a command's first call loads its classes on a busy host. Symptom: the command fails though the service
     * has answered, and its operator does not learn which change won.
     */
    public static final Duration COMMAND_CALL_LIMIT = Duration.ofSeconds(5);

    private static final Duration WATCH_WAIT = Duration.ofSeconds(10);
    private static final Duration WATCH_LIMIT = Duration.ofSeconds(12);
    /** A value has a megabyte at most, and its text may be escaped. */
    private static final int MAX_REPLY_BYTES = 4 << 20;

    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private final HttpCaller caller;
    private final String base;
    private final Duration callLimit;

    /**
     * Makes a client.
     *
     * @param caller makes the calls
     * @param address the service's address
     * @param callLimit how long a call that does not wait for changes may take
     */
    public HttpKeyValueStore(HttpCaller caller, String address, Duration callLimit) {
        this.callLimit = callLimit;
        this.caller = caller;
        this.base = "http://" + address;
    }

    @Override
    public CompletionStage<StoreReply> read(String key) {
        return readCall("/kv?key=" + encode(key), callLimit);
    }

    @Override
    public CompletionStage<StoreReply> watch(String key, long afterVersion) {
        String path = "/watch?key=" + encode(key) + "&after=" + afterVersion + "&wait=" + WATCH_WAIT.toMillis();
        return readCall(path, WATCH_LIMIT);
    }

    private CompletionStage<StoreReply> readCall(String path, Duration limit) {
        Promise<HttpReply> call = caller.call(HttpMethod.GET, base + path, "", limit, MAX_REPLY_BYTES);
        return settle(call, HttpKeyValueStore::entry, why -> new StoreReply.Failed(why));
    }

    @Override
    public CompletionStage<StoreReply> compareAndSwap(
            String key, long expectedVersion, String value, Optional<String> lease) {
        String path = "/kv?key=" + encode(key) + "&expected=" + expectedVersion
                + lease.map(l -> "&lease=" + encode(l)).orElse("");
        return writeCall(HttpMethod.PUT, path, value, HttpKeyValueStore::entry);
    }

    @Override
    public CompletionStage<StoreReply> grant(Duration ttl) {
        return writeCall(HttpMethod.POST, "/leases?ttl=" + ttl.toMillis(), "", HttpKeyValueStore::leased);
    }

    @Override
    public CompletionStage<StoreReply> renew(String lease) {
        return writeCall(HttpMethod.POST, "/leases/renew?id=" + encode(lease), "", HttpKeyValueStore::leased);
    }

    @Override
    public CompletionStage<StoreReply> revoke(String lease) {
        return writeCall(HttpMethod.POST, "/leases/revoke?id=" + encode(lease), "", HttpKeyValueStore::leased);
    }

    private CompletionStage<StoreReply> writeCall(
            HttpMethod method, String path, String body, Function<HttpReply, StoreReply> read) {
        Promise<HttpReply> call = caller.call(method, base + path, body, callLimit, MAX_REPLY_BYTES);
        return settle(call, read, why -> new StoreReply.InDoubt(why));
    }

    /**
     * A lost connection or a time limit leaves a write in doubt; only a refused connection is proof that nothing was.
     */
    private static CompletionStage<StoreReply> settle(
            Promise<HttpReply> call, Function<HttpReply, StoreReply> read, Function<String, StoreReply> lost) {
        CompletableFuture<StoreReply> result = new CompletableFuture<>();
        call.subscribe((reply, e) -> {
            if (e instanceof ConnectException) {
                result.complete(new StoreReply.Failed("the key-value service refuses connections"));
            } else if (e != null) {
                result.complete(lost.apply("no answer from the key-value service: " + e));
            } else if (reply.status() == TOO_MANY || reply.status() == UNAVAILABLE) {
                result.complete(new StoreReply.Failed("the key-value service answered " + reply.status()));
            } else {
                result.complete(read.apply(reply));
            }
        });
        return result;
    }

    private static StoreReply entry(HttpReply reply) {
        if (reply.status() == NOT_FOUND) {
            return new StoreReply.Missing();
        }
        if (reply.status() == CONFLICT) {
            return new StoreReply.Conflict(
                    Json.read(reply.body(), StoreEntry.class).toJavaOptional());
        }
        return Json.read(reply.body(), StoreEntry.class)
                .fold(why -> new StoreReply.InDoubt("unreadable answer: " + why), StoreReply.Found::new);
    }

    private static StoreReply leased(HttpReply reply) {
        return reply.status() == NOT_FOUND ? new StoreReply.Missing() : new StoreReply.Leased(reply.body());
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
