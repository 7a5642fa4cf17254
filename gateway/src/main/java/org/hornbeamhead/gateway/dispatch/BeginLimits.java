package org.hornbeamhead.gateway.dispatch;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.hornbeamhead.core.time.Timers;

/**
 * Takes requests back that still wait at an engine when the weights there go out of use.
 *
 * <p>Failure: weights are replaced, or turn out to have been replaced earlier, while a request waits at an engine; or
 * the request is silent first and waits on. Symptom: it begins on weights that are out of use. No time that is known at
 * the sending is right for the whole wait, so how long weights are usable is looked at again until the request begins,
 * whatever other limits do meanwhile.
 *
 * <p>All requests of the same weights are looked at together, with one timer: a look costs as much as there are
 * versions in use, not as there are requests. Owned by one thread.
 */
final class BeginLimits {
    /**
     * A time that becomes shorter after it was looked at is heeded after this at most, in milliseconds. It is less than
     * a third of the 350 ms that the view of the weights keeps before the bound; ten looks a second cost next to
     * nothing.
     */
    static final long LOOK_MILLIS = 100;

    private final Timers timers;
    private final ToLongFunction<Weights> usableMillis;
    private final Map<Weights, Set<Waiting>> waiting = new HashMap<>();
    private boolean looking;

    /**
     * The weights on which a request would begin.
     *
     * @param model the model
     * @param version their version
     */
    record Weights(String model, long version) {}

    /** One waiting request, equal only to itself. */
    private static final class Waiting {
        private final Runnable takeBack;
        private boolean over;

        Waiting(Runnable takeBack) {
            this.takeBack = takeBack;
        }

        void takeBack() {
            if (!over) {
                over = true;
                takeBack.run();
            }
        }
    }

    /**
     * Makes limits for nobody.
     *
     * @param timers the thread's timers
     * @param usableMillis tells how long requests may still begin on weights, in milliseconds
     */
    BeginLimits(Timers timers, ToLongFunction<Weights> usableMillis) {
        this.timers = timers;
        this.usableMillis = usableMillis;
    }

    /** Tells how long requests may still begin on weights, in milliseconds. */
    long leftMillis(Weights weights) {
        return usableMillis.applyAsLong(weights);
    }

    /**
     * Looks after a request that was sent.
     *
     * @param weights the weights on which it would begin
     * @param takeBack called at most once, when they go out of use
     * @return to be called when the request has begun or ended; does nothing after the first time
     */
    Runnable watch(Weights weights, Runnable takeBack) {
        Waiting one = new Waiting(takeBack);
        waiting.computeIfAbsent(weights, w -> new LinkedHashSet<>()).add(one);
        if (!looking) {
            lookLater();
        } else if (leftMillis(weights) < LOOK_MILLIS) {
            timers.schedule(delay(leftMillis(weights)), this::takeBackOver);
        }
        return () -> forget(weights, one);
    }

    private void forget(Weights weights, Waiting one) {
        one.over = true;
        waiting.computeIfPresent(weights, (w, all) -> {
            all.remove(one);
            return all.isEmpty() ? null : all;
        });
    }

    private void lookLater() {
        long left = waiting.keySet().stream().mapToLong(this::leftMillis).min().orElse(LOOK_MILLIS);
        looking = true;
        timers.schedule(delay(left), this::look);
    }

    private static long delay(long leftMillis) {
        return Math.max(1, Math.min(leftMillis, LOOK_MILLIS));
    }

    private void look() {
        takeBackOver();
        looking = false;
        if (!waiting.isEmpty()) {
            lookLater();
        }
    }

    /** What is taken back may be sent anew at once, and is waiting again then. */
    private void takeBackOver() {
        List<Weights> over =
                waiting.keySet().stream().filter(w -> leftMillis(w) <= 0).toList();
        over.stream().map(waiting::remove).flatMap(Set::stream).toList().forEach(Waiting::takeBack);
    }
}
