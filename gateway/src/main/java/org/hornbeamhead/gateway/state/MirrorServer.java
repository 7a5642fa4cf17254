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
import org.hornbeamhead.core.mirror.ChangeFeed;
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
    private final ChangeFeed feed;
    private final RoutingState state;
    private final WeightsView weights;
    private final SuspensionDetector suspensionDetector;
    private final BooleanSupplier readsStore;
    private final LongSupplier relistMillis;
    private final Set<PendingQuery> pending = new LinkedHashSet<>();
    private boolean answerScheduled;

    /** A question of another router; each is a thing of its own, also among like ones. */
    private static final class PendingQuery {
        private final long after;
        private final long receivedAtMillis;
        private final SettablePromise<MirrorAnswer> answer = new SettablePromise<>();

        PendingQuery(long after, long since) {
            this.after = after;
            this.receivedAtMillis = since;
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
            SuspensionDetector suspensions,
            BooleanSupplier readsStore,
            LongSupplier relistMillis) {
        this.timers = timers;
        this.clock = clock;
        this.mirror = mirror;
        this.feed = new ChangeFeed(mirror);
        this.state = state;
        this.weights = weights;
        this.suspensionDetector = suspensions;
        this.readsStore = readsStore;
        this.relistMillis = relistMillis;
    }

    /**
     * Notes a change of the mirror that others have to hear of. They hear of all changes of one answer of the store
     * together.
     *
     * @param item the changed item
     */
    public void recordChange(StoreItem item) {
        feed.recordChange(item);
        if (!answerScheduled && !pending.isEmpty()) {
            answerScheduled = true;
            timers.schedule(0, this::answerPending);
        }
    }

    private void answerPending() {
        answerScheduled = false;
        List.copyOf(pending).stream().filter(q -> feed.hasChangesAfter(q.after)).forEach(this::complete);
    }

    private void complete(PendingQuery question) {
        if (pending.remove(question)) {
            question.answer.trySet(handle(question));
        }
    }

    /**
     * Answers another router.
     *
     * @param request asks for the changes after a revision, and says how long it would wait for the first one
     * @return the changes, and how old they may be
     */
    public Promise<HttpResponse> handle(HttpRequest request) {
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
        return query(after, wait).then(answer -> HttpAnswers.json(200, answer.encode()));
    }

    Promise<MirrorAnswer> query(long after, long waitMillis) {
        PendingQuery question = new PendingQuery(after, clock.monotonicMillis());
        if (waitMillis <= 0 || feed.hasChangesAfter(after) || !readsStore.getAsBoolean()) {
            return Promise.of(handle(question));
        }
        pending.add(question);
        timers.schedule(Math.min(MAX_WAIT_MILLIS, waitMillis), () -> complete(question));
        return question.answer;
    }

    private MirrorAnswer handle(PendingQuery question) {
        suspensionDetector.check();
        long now = clock.monotonicMillis();
        return new MirrorAnswer(
                feed.changesSince(question.after),
                now - state.confirmedAt(),
                now - state.completeUpTo(),
                now - question.receivedAtMillis,
                relistMillis.getAsLong(),
                readsStore.getAsBoolean(),
                weights.publicationAges(now));
    }
}
