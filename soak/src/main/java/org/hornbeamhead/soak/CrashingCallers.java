package org.hornbeamhead.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamhead.platform.StandinCaller;
import org.hornbeamhead.platform.StandinDocuments;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.RequestKind;

/** Callers that send one request each, under new ids at any router, though each replica ends that runs it. */
final class CrashingCallers {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Pattern CONTENT = Pattern.compile("^[A-Z]+ (/[a-z]+/ends[0-9]+) ");
    private static final int MAX_PAUSE_MILLIS = 600;
    /** Keys are taken away from the last one on, so that this one stays. */
    private static final int LASTING_KEY = 0;

    private final SoakFleet fleet;
    private final History history;
    private final Stopwatch clock;
    private final AtomicLong nextId = new AtomicLong();
    private volatile boolean over;

    CrashingCallers(SoakFleet fleet, History history, Stopwatch clock) {
        this.fleet = fleet;
        this.history = history;
        this.clock = clock;
    }

    /** Names what all arrivals of a request that ends replicas have in common; empty for other requests. */
    static Optional<String> content(String head) {
        Matcher m = CONTENT.matcher(head);
        return m.find() ? Optional.of(m.group(1)) : Optional.empty();
    }

    void end() {
        over = true;
    }

    /** One caller, until it is told to end. */
    void run(int number, long seed) {
        Random random = new Random(seed);
        RequestKind kind = number % 2 == 0 ? RequestKind.SAFE : RequestKind.RESUME;
        while (!over) {
            send(
                    kind,
                    number,
                    fleet.routers().get(random.nextInt(fleet.routers().size())));
            try {
                Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void send(RequestKind kind, int number, RouterHandle router) {
        String id = String.format("e%015x", nextId.incrementAndGet());
        String key = fleet.key(LASTING_KEY);
        history.add(new History.Asked(id, kind, key, router.name(), router.process(), clock.millis()));
        StandinCaller.Answer answer = ask(router, request(kind, number, id, key));
        history.add(new History.Answered(id, answer.status(), answer.body(), answer.complete(), clock.millis()));
    }

    private static String request(RequestKind kind, int number, String id, String key) {
        return kind.streams()
                ? StandinDocuments.promptRequest("/resume/ends" + number, id).replace("Bearer k1", "Bearer " + key)
                : StandinDocuments.request("GET", "/safe/ends" + number, id, key, "");
    }

    private static StandinCaller.Answer ask(RouterHandle router, String request) {
        try (StandinCaller caller = new StandinCaller(router.callers())) {
            return caller.exchange(request);
        } catch (IOException e) {
            logger.atFine().withCause(e).log("%s gave no answer", router.name());
            return new StandinCaller.Answer(0, "", false, false);
        }
    }
}
