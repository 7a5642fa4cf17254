package org.hornbeamhead.gateway.state;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.mirror.ToldChanges;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.HttpAnswers;

/** Tells other routers what this one knows of the store, at once or as soon as there is something new. */
public final class MirrorServer {
    /** The path at which routers read one another's mirrors. */
    public static final String PATH = "/v1/mirror";

    /** A longer wait would find a lost reader late; whoever asks for more is answered sooner. */
    private static final long MAX_WAIT_MILLIS = 2_000;

    private final Timers timers;
    private final Clock clock;
    private final StoreMirror mirror;
    private final ToldChanges told;
    private final RoutingState state;
    private final WeightsView weights;
    private final SuspensionWatch suspensions;
    private final BooleanSupplier readsStore;
    private final LongSupplier relistMillis;
    private final Set<Question> waiting = new LinkedHashSet<>();
    private boolean looking;

    /** A question of another router; each is a thing of its own, also among like ones. */
    private static final class Question {
        private final long after;
        private final long since;
        private final SettablePromise<MirrorAnswer> answer = new SettablePromise<>();

        Question(long after, long since) {
            this.after = after;
            this.since = since;
        }
    }

    /**
     * Makes a server that nobody asks yet.
     *
     * @param timers the thread's timers
     * @param clock the clock
     * @param mirror what is known
     * @param state tells how old that is
     * @param weights tells when versions were named
     * @param suspensions looked at before a time is told
     * @param readsStore whether the store itself answers this router
     * @param relistMillis how long removals may still turn out to be the work of an outage, in milliseconds
     */
    public MirrorServer(
            Timers timers,
            Clock clock,
            StoreMirror mirror,
            RoutingState state,
            WeightsView weights,
            SuspensionWatch suspensions,
            BooleanSupplier readsStore,
            LongSupplier relistMillis) {
        this.timers = timers;
        this.clock = clock;
        this.mirror = mirror;
        this.told = new ToldChanges(mirror);
        this.state = state;
        this.weights = weights;
        this.suspensions = suspensions;
        this.readsStore = readsStore;
        this.relistMillis = relistMillis;
    }

    /**
     * Notes a change of the mirror that others have to hear of. They hear of all changes of one answer of the store
     * together.
     *
     * @param item the changed item
     */
    public void changed(StoreItem item) {
        told.changed(item);
        if (!looking && !waiting.isEmpty()) {
            looking = true;
            timers.schedule(0, this::answerWhoMustHear);
        }
    }

    private void answerWhoMustHear() {
        looking = false;
        List.copyOf(waiting).stream().filter(q -> told.hasNewsFor(q.after)).forEach(this::end);
    }

    private void end(Question question) {
        if (waiting.remove(question)) {
            question.answer.trySet(answer(question));
        }
    }

    /**
     * Answers another router.
     *
     * @param request asks for the changes after a revision, and says how long it would wait for the first one
     * @return the changes, and how old they may be
     */
    public Promise<HttpResponse> answer(HttpRequest request) {
        long after;
        long wait;
        try {
            after = Long.parseLong(String.valueOf(request.getQueryParameter("after")));
            String asked = request.getQueryParameter("wait");
            wait = asked == null ? 0 : Long.parseLong(asked);
        } catch (NumberFormatException e) {
            return HttpAnswers.text(400, "text/plain", "'after' is no revision, or 'wait' no milliseconds\n");
        }
        if (mirror.revision() == 0) {
            return HttpAnswers.text(503, "text/plain", "nothing is known yet\n");
        }
        return ask(after, wait).then(answer -> HttpAnswers.json(200, answer.encode()));
    }

    Promise<MirrorAnswer> ask(long after, long waitMillis) {
        Question question = new Question(after, clock.monotonicMillis());
        if (waitMillis <= 0 || told.hasNewsFor(after) || !readsStore.getAsBoolean()) {
            return Promise.of(answer(question));
        }
        waiting.add(question);
        timers.schedule(Math.min(MAX_WAIT_MILLIS, waitMillis), () -> end(question));
        return question.answer;
    }

    private MirrorAnswer answer(Question question) {
        suspensions.look();
        long now = clock.monotonicMillis();
        return new MirrorAnswer(
                told.since(question.after),
                now - state.confirmedAt(),
                now - state.provenAt(),
                now - question.since,
                relistMillis.getAsLong(),
                readsStore.getAsBoolean(),
                weights.ages(now));
    }
}
