package org.hornbeamhead.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamhead.platform.StandinCaller;
import org.hornbeamhead.platform.StandinDocuments;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.RequestKind;

/** Callers that ask which addresses to use, keep the answer, and send requests over connections that they keep. */
final class Callers {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long an address answer is kept, and by some callers three times as long. */
    private static final long KEEP_MILLIS = 1_000;

    private static final int MAX_PAUSE_MILLIS = 40;
    private static final int REQUESTS_PER_CONNECTION = 12;
    /** One in so many requests has a key that never was. */
    private static final int FORGED_ONE_IN = 50;

    private final SoakFleet fleet;
    private final History history;
    private final Stopwatch clock;
    private final AtomicLong nextId = new AtomicLong();
    private volatile boolean over;

    Callers(SoakFleet fleet, History history, Stopwatch clock) {
        this.fleet = fleet;
        this.history = history;
        this.clock = clock;
    }

    void end() {
        over = true;
    }

    /** One caller, until the run is over. */
    void run(long seed) {
        Random random = new Random(seed);
        long keep = random.nextInt(4) == 0 ? 3 * KEEP_MILLIS : KEEP_MILLIS;
        List<Integer> addresses = new ArrayList<>();
        long askedAt = -keep;
        while (!over) {
            if (clock.millis() - askedAt >= keep || addresses.isEmpty()) {
                List<Integer> fresh = ask(random);
                addresses = fresh.isEmpty() ? addresses : new ArrayList<>(fresh);
                askedAt = clock.millis();
            }
            if (addresses.isEmpty()) {
                pause(random);
                continue;
            }
            Integer port = addresses.get(random.nextInt(addresses.size()));
            if (!connection(port, random, keep)) {
                addresses.remove(port);
            }
        }
    }

    /**
     * Tells whether a router serves and tells callers which routers to use. In a large fleet it need not name itself,
     * since only as many are named as bear the load.
     */
    static boolean namesRouters(RouterHandle router) {
        return !addresses(router).isEmpty() && router.acceptsCallers();
    }

    private List<Integer> ask(Random random) {
        return addresses(fleet.routers().get(random.nextInt(fleet.routers().size())));
    }

    private static List<Integer> addresses(RouterHandle router) {
        try {
            return StandinCaller.resolvePorts(router.directory());
        } catch (IOException e) {
            logger.atFine().withCause(e).log("%s does not answer", router.name());
            return List.of();
        }
    }

    /** Sends some requests over one connection; tells whether the address is any good. */
    private boolean connection(int port, Random random, long keep) {
        RouterHandle router = fleet.routers().stream()
                .filter(r -> r.callers() == port)
                .findFirst()
                .orElseThrow();
        long end = clock.millis() + keep;
        try (StandinCaller caller = new StandinCaller(port)) {
            for (int i = 0; i < REQUESTS_PER_CONNECTION && !over && clock.millis() < end; i++) {
                if (!request(caller, router, random)) {
                    return i > 0;
                }
                pause(random);
            }
            return true;
        } catch (IOException e) {
            logger.atFine().withCause(e).log("%s takes no connection", router.name());
            return false;
        }
    }

    private boolean request(StandinCaller caller, RouterHandle router, Random random) {
        String id = String.format("%016x", nextId.incrementAndGet());
        RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
        String key = random.nextInt(FORGED_ONE_IN) == 0 ? "forged" : fleet.key(random.nextInt());
        history.add(new History.Asked(id, kind, key, router.name(), router.process(), clock.millis()));
        StandinCaller.Answer answer;
        try {
            answer = caller.exchange(
                    StandinDocuments.request(kind.name().toLowerCase(Locale.ROOT), kind.streams(), id, key));
        } catch (IOException e) {
            logger.atFine().withCause(e).log("request %s got no answer", id);
            answer = new StandinCaller.Answer(0, "", false, false);
        }
        history.add(new History.Answered(id, answer.status(), answer.body(), answer.complete(), clock.millis()));
        return answer.complete() && answer.keepAlive();
    }

    private static void pause(Random random) {
        try {
            Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
