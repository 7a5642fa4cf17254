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
import org.hornbeamhead.core.mirror.ChangeFeed;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.HttpAnswers;

/** Serves the mirror of the store to other routers, at once or as soon as there are changes. */
public final class MirrorServer {
    /** The path at which routers fetch the mirrors of others. */
    public static final String PATH = "/v1/mirror";

    /** Maximum wait of a request. A longer wait would delay the detection of a failed reader. */
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

    /** A request of another router that waits for changes. Requests are compared by identity. */
    private static final class PendingQuery {
        private final long after;
        private final long receivedAtMillis;
        private final SettablePromise<MirrorAnswer> answer = new SettablePromise<>();

        PendingQuery(long after, long receivedAtMillis) {
            this.after = after;
            this.receivedAtMillis = receivedAtMillis;
        }
    }

    /**
     * Creates a server without requests.
     *
     * @param timers the timers of this thread
     * @param clock the clock
     * @param mirror the mirror to serve
     * @param state the routing state, which knows how recent the mirror is
     * @param weights the view of weights, which knows when versions were published
     * @param suspensionDetector checked before a time is reported
     * @param readsStore whether the store itself answers this router
     * @param relistMillis how long removed entries may still be listed again after an outage, in milliseconds
     */
    public MirrorServer(
            Timers timers,
            Clock clock,
            StoreMirror mirror,
            RoutingState state,
            WeightsView weights,
            SuspensionDetector suspensionDetector,
            BooleanSupplier readsStore,
            LongSupplier relistMillis) {
        this.timers = timers;
        this.clock = clock;
        this.mirror = mirror;
        this.feed = new ChangeFeed(mirror);
        this.state = state;
        this.weights = weights;
        this.suspensionDetector = suspensionDetector;
        this.readsStore = readsStore;
        this.relistMillis = relistMillis;
    }

    /**
     * Records a change of the mirror that must be reported to other routers. All changes of one answer of the store are
     * reported together.
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

    private void complete(PendingQuery query) {
        if (pending.remove(query)) {
            query.answer.trySet(createAnswer(query));
        }
    }

    /**
     * Handles the request of another router.
     *
     * @param request the request for the changes after a revision, with the time to wait for the first change
     * @return the response with the changes and their maximum age
     */
    public Promise<HttpResponse> handle(HttpRequest request) {
        long after;
        long wait;
        try {
            after = Long.parseLong(String.valueOf(request.getQueryParameter("after")));
            String waitText = request.getQueryParameter("wait");
            wait = waitText == null ? 0 : Long.parseLong(waitText);
        } catch (NumberFormatException e) {
            return HttpAnswers.text(400, "text/plain", "'after' is no revision, or 'wait' no milliseconds\n");
        }
        if (mirror.revision() == 0) {
            return HttpAnswers.text(503, "text/plain", "nothing is known yet\n");
        }
        return query(after, wait).then(answer -> HttpAnswers.json(200, answer.encode()));
    }

    Promise<MirrorAnswer> query(long after, long waitMillis) {
        PendingQuery query = new PendingQuery(after, clock.monotonicMillis());
        if (waitMillis <= 0 || feed.hasChangesAfter(after) || !readsStore.getAsBoolean()) {
            return Promise.of(createAnswer(query));
        }
        pending.add(query);
        timers.schedule(Math.min(MAX_WAIT_MILLIS, waitMillis), () -> complete(query));
        return query.answer;
    }

    private MirrorAnswer createAnswer(PendingQuery query) {
        suspensionDetector.check();
        long now = clock.monotonicMillis();
        return new MirrorAnswer(
                feed.changesSince(query.after),
                now - state.confirmedAt(),
                now - state.completeUpTo(),
                now - query.receivedAtMillis,
                relistMillis.getAsLong(),
                readsStore.getAsBoolean(),
                weights.publicationAges(now));
    }
}
