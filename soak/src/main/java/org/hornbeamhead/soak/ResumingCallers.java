package org.hornbeamhead.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import org.hornbeamhead.platform.StandinCaller;
import org.hornbeamhead.platform.StandinDocuments;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.RequestKind;

/** Callers that leave streams in the middle and resume them, mostly at other routers. */
final class ResumingCallers {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_STEPS = 6;
    private static final int MAX_PAUSE_MILLIS = 60;
    /** One in so many steps comes a second late. */
    private static final int LATE_ONE_IN = 4;

    private static final long LATE_MILLIS = 1_000;
    /** One in so many streams is resumed without naming the attempt that began it, at routers out of step. */
    private static final int UNNAMED_ONE_IN = 3;

    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\n[^\n]*\n[^\n]*\n\n");

    private final SoakFleet fleet;
    private final History history;
    private final Stopwatch clock;
    private final AtomicLong nextId = new AtomicLong();
    private volatile boolean over;

    ResumingCallers(SoakFleet fleet, History history, Stopwatch clock) {
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
        while (!over) {
            takeStream(random);
        }
    }

    private void takeStream(Random random) {
        List<RouterHandle> outOfStep = fleet.hasReleases() ? List.copyOf(fleet.outOfStep()) : List.of();
        List<RouterHandle> inStep =
                fleet.routers().stream().filter(r -> !outOfStep.contains(r)).toList();
        if (outOfStep.isEmpty() || inStep.isEmpty()) {
            takeStreamAnywhere(random);
        } else {
            takeStream(inStep, outOfStep, random);
        }
    }

    /** Begins a stream at a router that is in step, and resumes it at once at those that are not. */
    private void takeStream(List<RouterHandle> inStep, List<RouterHandle> outOfStep, Random random) {
        String key = fleet.key(random.nextInt());
        boolean named = random.nextInt(UNNAMED_ONE_IN) > 0;
        String first = String.format("d%015x", nextId.incrementAndGet());
        History.Part begun = takePart(first, "", 0, 1, key, pick(inStep, random), true);
        history.add(begun);
        int last = lastEvent(begun, 0);
        for (int step = 1; step < MAX_STEPS && last > 0 && last < RequestKind.events() && !over; step++) {
            String id = String.format("d%015x", nextId.incrementAndGet());
            int until = step % 2 == 0 ? RequestKind.events() : last + 1;
            History.Part part = takePart(id, first, last, until, key, pick(outOfStep, random), named);
            history.add(part);
            last = lastEvent(part, last);
        }
        sleep(random.nextInt(MAX_PAUSE_MILLIS));
    }

    private static RouterHandle pick(List<RouterHandle> routers, Random random) {
        return routers.get(random.nextInt(routers.size()));
    }

    private void takeStreamAnywhere(Random random) {
        String first = "";
        int last = 0;
        String key = fleet.key(random.nextInt());
        for (int step = 0; step < MAX_STEPS && last < RequestKind.events() && !over; step++) {
            String id = String.format("d%015x", nextId.incrementAndGet());
            int until = random.nextInt(2) == 0 ? RequestKind.events() : last + 1 + random.nextInt(2);
            History.Part part = takePart(
                    id, first, last, Math.min(until, RequestKind.events()), key, pick(fleet.routers(), random), true);
            history.add(part);
            int reached = lastEvent(part, last);
            first = first.isEmpty() && reached > 0 ? id : first;
            last = reached;
            sleep(random.nextInt(LATE_ONE_IN) == 0 ? LATE_MILLIS : random.nextInt(MAX_PAUSE_MILLIS));
        }
    }

    private static int lastEvent(History.Part part, int last) {
        return EVENT.matcher(part.body())
                .results()
                .map(m -> Integer.parseInt(m.group(1)))
                .reduce(last, (a, b) -> b);
    }

    /** Takes events of a stream up to one, or up to the end. */
    private History.Part takePart(
            String id, String first, int last, int until, String key, RouterHandle router, boolean named) {
        long at = clock.millis();
        history.add(new History.Asked(id, RequestKind.RESUME, key, router.name(), router.process(), at));
        StandinCaller.Answer answer = new StandinCaller.Answer(0, "", false, false);
        try (StandinCaller caller = new StandinCaller(router.callers())) {
            String request = request(id, first, last, key, named);
            answer = until == RequestKind.events()
                    ? caller.exchange(request)
                    : caller.exchangeUntil(request, "data: " + id + "-" + until + "\n\n");
        } catch (IOException e) {
            logger.atFine().withCause(e).log("request %s got no answer", id);
        }
        return new History.Part(id, first, last, answer.status(), answer.body(), answer.complete(), at, named);
    }

    private static String request(String id, String first, int last, String key, boolean named) {
        String request = StandinDocuments.request("resume", true, id, key);
        return first.isEmpty()
                ? request
                : request.replaceFirst(
                        "\r\n\r\n", "\r\nLast-Event-Id: " + last + (named ? "\r\nResumes: " + first : "") + "\r\n\r\n");
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
