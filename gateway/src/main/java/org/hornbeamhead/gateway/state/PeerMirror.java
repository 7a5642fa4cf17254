package org.hornbeamhead.gateway.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.HttpReply;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.daemon.Logs;

/**
 * Passes the mirror between routers.
 *
 * <p>Failure: the store turns this router away and serves the others. Symptom: this router goes on with a key that was
 * taken away, or sends to a replica that left. While the store does not answer, the router reads the mirror of another
 * one, a randomly chosen one each time; revisions decide what is newer, whoever tells it.
 */
public final class PeerMirror {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The path at which routers read one another's mirrors. */
    public static final String PATH = "/v1/mirror";

    /** How often a router that the store does not answer asks others; a quarter of the bound, and 1 KB/s. */
    private static final long POLL_MILLIS = 200;

    /** Routers that are asked at a start; when all were restarted together, none knows more than the store. */
    private static final int MAX_INTRODUCTIONS = 5;

    private static final Duration TIMEOUT = Duration.ofMillis(700);
    /** A view whose age another router does not tell is as old as this, in milliseconds: it proves nothing. */
    private static final long UNKNOWN_MILLIS = Long.MAX_VALUE / 4;

    private final NioReactor reactor;
    private final Clock clock;
    private final RandomGenerator random;
    private final HttpCaller caller;
    private final StoreMirror mirror;
    private final RoutingState state;
    private final WeightsView weights;
    private final SuspensionWatch suspensions;
    private final StoreFollower follower;
    private final Supplier<List<String>> peers;
    private boolean introduced;
    private int asked;

    /**
     * Makes a reader that does not read yet.
     *
     * @param reactor the thread's reactor
     * @param clock the clock
     * @param random the source of randomness
     * @param mirror the mirror to keep up
     * @param state told when the mirror is confirmed to be the newest
     * @param weights told when versions were named
     * @param suspensions looked at before a time is counted or told
     * @param follower tells whether the store answers
     * @param peers the addresses at which other routers may be asked
     */
    public PeerMirror(
            NioReactor reactor,
            Clock clock,
            RandomGenerator random,
            StoreMirror mirror,
            RoutingState state,
            WeightsView weights,
            SuspensionWatch suspensions,
            StoreFollower follower,
            Supplier<List<String>> peers) {
        this.reactor = reactor;
        this.clock = clock;
        this.random = random;
        this.caller = HttpCaller.connectingAnew(reactor);
        this.mirror = mirror;
        this.state = state;
        this.weights = weights;
        this.suspensions = suspensions;
        this.follower = follower;
        this.peers = peers;
    }

    /**
     * Reads once from another router, which knows what the store does not tell, and then whenever the store does not
     * answer.
     */
    public void start() {
        reactor.delayBackground(POLL_MILLIS, this::poll);
    }

    /** Asks other routers again, as after a start: what this one knew of times is in doubt. */
    public void introduceAgain() {
        introduced = false;
        asked = 0;
    }

    private void poll() {
        List<String> addresses = follower.away() || !introduced ? peers.get() : List.of();
        if (addresses.isEmpty()) {
            reactor.delayBackground(POLL_MILLIS, this::poll);
            return;
        }
        String peer = addresses.get(random.nextInt(addresses.size()));
        long sent = clock.monotonicMillis();
        caller.call(HttpMethod.GET, "http://" + peer + PATH + "?after=" + mirror.revision(), "", TIMEOUT)
                .subscribe((reply, e) -> {
                    if (e == null && reply.isOk()) {
                        heard(peer, reply, sent);
                    }
                    reactor.delayBackground(POLL_MILLIS, this::poll);
                });
    }

    private void heard(String peer, HttpReply reply, long sent) {
        suspensions.look();
        Json.parse(reply.body())
                .peekLeft(why -> logger.atWarning().log("router %s answered no mirror: %s", peer, why))
                .forEach(tree -> {
                    mirror.apply(decode(tree));
                    state.confirmed(sent - tree.path("ageMillis").asLong(UNKNOWN_MILLIS));
                    state.proven(sent - tree.path("provenMillisAgo").asLong(UNKNOWN_MILLIS));
                    if (state.trusts(sent)) {
                        List<NamedAge> named = decodeNames(tree.path("named"));
                        named.forEach(age -> weights.told(age, sent));
                        log(peer, named);
                        asked++;
                    }
                    introduced = !weights.isUncertain() || asked >= MAX_INTRODUCTIONS;
                });
    }

    private static void log(String peer, List<NamedAge> named) {
        if (!named.isEmpty()) {
            logger.atInfo()
                    .with(Logs.DECISION, "weights told")
                    .with(Logs.INPUTS, named.toString())
                    .log("router %s tells when weights were named", peer);
        }
    }

    private static List<NamedAge> decodeNames(JsonNode list) {
        List<NamedAge> named = new ArrayList<>();
        list.forEach(n -> named.add(new NamedAge(
                n.path("model").asText(),
                n.path("version").asLong(),
                n.path("millisAgo").asLong(),
                n.path("guessed").asBoolean())));
        return named;
    }

    private static StoreChanges decode(JsonNode tree) {
        List<StoreItem> items = new ArrayList<>();
        tree.path("items")
                .forEach(i -> items.add(new StoreItem(
                        i.path("key").asText(),
                        i.path("revision").asLong(),
                        i.path("value").asText(),
                        i.path("removed").asBoolean())));
        return new StoreChanges(
                items, tree.path("revision").asLong(), tree.path("whole").asBoolean());
    }

    /**
     * Answers another router.
     *
     * @param request asks for the changes after a revision
     * @return the changes, and how old they may be
     */
    public Promise<HttpResponse> answer(HttpRequest request) {
        long after;
        try {
            after = Long.parseLong(String.valueOf(request.getQueryParameter("after")));
        } catch (NumberFormatException e) {
            return HttpAnswers.text(400, "text/plain", "'after' is no revision\n");
        }
        if (mirror.revision() == 0) {
            return HttpAnswers.text(503, "text/plain", "nothing is known yet\n");
        }
        suspensions.look();
        return HttpAnswers.json(200, encode(mirror.since(after)));
    }

    private ObjectNode encode(StoreChanges changes) {
        ObjectNode tree = Json.object();
        tree.put("revision", changes.revision());
        tree.put("whole", changes.whole());
        tree.put("ageMillis", clock.monotonicMillis() - state.confirmedAt());
        tree.put("provenMillisAgo", clock.monotonicMillis() - state.provenAt());
        ArrayNode named = tree.putArray("named");
        weights.ages(clock.monotonicMillis()).forEach(a -> named.addObject()
                .put("model", a.model())
                .put("version", a.version())
                .put("millisAgo", a.millisAgo())
                .put("guessed", a.guessed()));
        ArrayNode items = tree.putArray("items");
        changes.items().forEach(i -> items.addObject()
                .put("key", i.key())
                .put("revision", i.revision())
                .put("value", i.value())
                .put("removed", i.removed()));
        return tree;
    }
}
