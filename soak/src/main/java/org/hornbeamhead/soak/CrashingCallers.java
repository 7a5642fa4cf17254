package org.hornbeamhead.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.hornbeamhead.platform.StandinCaller;
import org.hornbeamhead.platform.StandinDocuments;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.RequestKind;

/**
 * Callers whose requests end each replica that runs them, under new ids at any router. Two callers send one content
 * each; those of the others differ in all but one part of their prompts.
 */
final class CrashingCallers {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Pattern CONTENT = Pattern.compile("^[A-Z]+ (/[a-z]+/ends[0-9]+) ");
    /** A shared part, so that another one follows it. */
    private static final Pattern PROMPT_PART = Pattern.compile("(?m)^X-Prompt-Prefix: .*\\b(bad[0-9]+):[0-9]+,");
    /** The callers whose requests have the same content. */
    private static final int SAME_CONTENT = 2;

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

    /** Names what all requests of a caller that end replicas have in common; empty for other requests. */
    static Optional<String> cause(String head) {
        return Stream.of(CONTENT, PROMPT_PART)
                .map(p -> p.matcher(head))
                .filter(Matcher::find)
                .map(m -> m.group(1))
                .findFirst();
    }

    void end() {
        over = true;
    }

    /** One caller, until it is told to end. */
    void run(int number, long seed) {
        Random random = new Random(seed);
        RequestKind kind = number == 0 ? RequestKind.SAFE : RequestKind.RESUME;
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
        String id = String.format("%s%015x", History.ENDING_ID_PREFIX, nextId.incrementAndGet());
        String key = fleet.key(LASTING_KEY);
        history.add(new History.Asked(id, kind, key, router.name(), router.process(), clock.millis()));
        StandinCaller.Answer answer = ask(router, request(kind, number, id, key));
        history.add(new History.Answered(id, answer.status(), answer.body(), answer.complete(), clock.millis()));
    }

    private static String request(RequestKind kind, int number, String id, String key) {
        if (number >= SAME_CONTENT) {
            return StandinDocuments.request(kind.name().toLowerCase(Locale.ROOT), true, id, key)
                    .replace("bb:100,", "bb:100,bad" + number + ":100,");
        }
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
