package org.hornbeamhead.soak;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.hornbeamhead.platform.StandinEngine;
import org.hornbeamhead.platform.StandinLink;
import org.hornbeamhead.platform.StandinReplica;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.RequestKind;

/** A replica behind a link, which notes what comes to it and may fail in some of its work. */
final class SoakReplica implements AutoCloseable {
    /** How long a request usually takes, at most. */
    private static final int MAX_WORK_MILLIS = 30;

    private static final int EVENT_MILLIS = 5;
    /** How long it works on a request that ends it. */
    private static final long END_MILLIS = 60;
    /** One in so many requests fails at a grey replica. */
    private static final int GREY_ONE_IN = 2;

    /** The slots that its entry states. */
    private static final int SLOTS = 8;
    /** How much longer a request takes at a brittle replica. */
    private static final long BRITTLE_WORK_MILLIS = 250;

    private static final long NOTICE_MILLIS = 3_000;
    private static final long SECOND_MILLIS = 1_000;

    private final StandinReplica replica;
    private final StandinEngine engine;
    private final StandinLink link;
    private final String service;
    private final String software;
    private final History history;
    private final Stopwatch clock;
    private final Random random;
    private final Consumer<SoakReplica> onEnd;
    private volatile boolean grey;
    private volatile boolean frozen;
    private volatile OptionalDouble limit = OptionalDouble.empty();
    private volatile long pauseMillis;
    private volatile long brittleSince;
    private volatile boolean leaving;
    private volatile OptionalInt tolerance = OptionalInt.empty();
    private volatile Optional<EndlessAnswer> endless = Optional.empty();
    private final AtomicInteger running = new AtomicInteger();
    private final Deque<Long> rejections = new ArrayDeque<>();

    SoakReplica(
            String id,
            String service,
            String software,
            long weights,
            History history,
            Stopwatch clock,
            long seed,
            Consumer<SoakReplica> onEnd)
            throws IOException {
        this.service = service;
        this.software = software;
        this.history = history;
        this.clock = clock;
        this.random = new Random(seed);
        this.onEnd = onEnd;
        this.engine = new StandinEngine(
                weights,
                this::work,
                o -> history.add(new History.Ordered(id, o.holder(), o.fence(), o.accepted(), clock.millis())));
        this.replica = new StandinReplica(id, this::receive);
        this.link = new StandinLink(replica::port);
    }

    String id() {
        return replica.id();
    }

    String service() {
        return service;
    }

    StandinLink link() {
        return link;
    }

    /** How it is listed. */
    String entry(String state) {
        return StandinReplica.withSoftware(replica.entry(service, state, link.port(), engine.version()), software);
    }

    void grey(boolean now) {
        grey = now;
    }

    /** Stands still like a process that is stopped, or goes on: nothing comes from it, and what comes to it waits. */
    void freeze(boolean now) {
        frozen = now;
        link.setMode(now ? StandinLink.Mode.SILENT : StandinLink.Mode.HEALTHY);
    }

    private void sleep(long millis) throws InterruptedException {
        Thread.sleep(millis);
        while (frozen) {
            Thread.sleep(EVENT_MILLIS);
        }
    }

    /** States a request limit in its answers from now on, or none. */
    void limit(OptionalDouble requestsPerSecond) {
        limit = requestsPerSecond;
    }

    /**
     * Is slow from now on, turns away what it has no slot for, and falls over after too many rejections; or is sound.
     */
    void setBrittle(OptionalInt rejectionsPerSecond) {
        tolerance = rejectionsPerSecond;
        if (rejectionsPerSecond.isPresent()) {
            brittleSince = clock.millis();
        }
    }

    /** Records that a request was turned away, and returns whether that was one too many. */
    private synchronized boolean isRejectionTooMany(int borne) {
        long now = clock.millis();
        rejections.addLast(now);
        while (now - rejections.peekFirst() >= SECOND_MILLIS) {
            rejections.removeFirst();
        }
        return rejections.size() > borne;
    }

    /** Says in all its answers from now on that it leaves. */
    void announceLeave() {
        leaving = true;
    }

    /** Sends bytes without end instead of answers from now on, or answers again. */
    void sendWithoutEnd(Optional<EndlessAnswer> answer) {
        endless = answer;
    }

    /** Turns requests away from now on and asks for a pause of this length; 0 to serve again. */
    void pause(long millis) {
        pauseMillis = millis;
    }

    private String withNotices(StandinReplica.ReceivedRequest r, String answer) {
        String noticed = answer;
        if (limit.isPresent()) {
            noticed = withHeader(noticed, "Server-Limit: " + limit.getAsDouble());
        }
        if (tolerance.isPresent()) {
            noticed = withHeader(noticed, "Server-Brittle: " + tolerance.getAsInt());
        }
        if (leaving) {
            history.add(new History.Announced(id(), r.id()));
            noticed = withHeader(noticed, "Server-Leaving: 1");
        }
        return noticed;
    }

    private static String withHeader(String answer, String header) {
        return answer.replaceFirst("\r\n", "\r\n" + header + "\r\n");
    }

    private void turnAway(StandinReplica.ReceivedRequest r, StandinReplica.Connection to, long millis)
            throws IOException {
        history.add(new History.Paused(id(), r.id(), millis, clock.millis()));
        to.write(withHeader(withNotices(r, StandinReplica.notExecuted(503)), "Retry-After: " + millis / 1_000.0));
    }

    /** Notes what the engine turns away, too: it has come to the replica. */
    private void receive(StandinReplica.ReceivedRequest r, StandinReplica.Connection to)
            throws IOException, InterruptedException {
        if (r.expectedWeights() != 0 && r.expectedWeights() != engine.version()) {
            history.add(arrival(r, false));
        }
        engine.answer(r, to);
    }

    private History.Arrived arrival(StandinReplica.ReceivedRequest r, boolean runs) {
        return new History.Arrived(
                r.id(), id(), service, r.customer(), r.cacheSalt(), r.expectedWeights(), runs, clock.millis());
    }

    private void work(StandinReplica.ReceivedRequest r, StandinReplica.Connection to)
            throws IOException, InterruptedException {
        try {
            boolean isFull = running.incrementAndGet() > SLOTS;
            OptionalInt borne = tolerance;
            if (borne.isPresent() && isFull) {
                reject(r, to, borne.getAsInt());
            } else {
                Thread.sleep(borne.isPresent() ? BRITTLE_WORK_MILLIS : 0);
                workInSlot(r, to);
            }
        } finally {
            running.decrementAndGet();
        }
    }

    private void reject(StandinReplica.ReceivedRequest r, StandinReplica.Connection to, int borne) throws IOException {
        history.add(arrival(r, false));
        to.write(withNotices(r, StandinReplica.notExecuted(503)));
        // For some time after the first statement more are borne, since routers cannot know it yet.
        if (isRejectionTooMany(borne) && clock.millis() - brittleSince > NOTICE_MILLIS) {
            history.add(new History.Fallen(id(), service, clock.millis()));
            onEnd.accept(this);
        }
    }

    private void workInSlot(StandinReplica.ReceivedRequest r, StandinReplica.Connection to)
            throws IOException, InterruptedException {
        boolean fails = grey && random.nextInt(GREY_ONE_IN) == 0;
        int how = random.nextInt(Failure.values().length);
        Failure failure = fails ? Failure.values()[how] : Failure.NONE;
        long pause = pauseMillis;
        boolean runs = failure != Failure.REFUSES && pause == 0;
        history.add(arrival(r, runs));
        if (pause > 0) {
            turnAway(r, to, pause);
            return;
        }
        Optional<EndlessAnswer> withoutEnd = endless;
        if (withoutEnd.isPresent()) {
            writeWithoutEnd(withoutEnd.get(), r, to);
            return;
        }
        if (runs && CrashingCallers.cause(r.head()).isPresent()) {
            end(r, to);
            return;
        }
        sleep(random.nextInt(MAX_WORK_MILLIS));
        if (failure == Failure.REFUSES) {
            to.write(withNotices(r, StandinReplica.notExecuted(503)));
        } else if (failure == Failure.LOSES) {
            to.reset();
        } else if (r.cacheSalt().isEmpty()) {
            answer(r, to, failure);
        } else {
            stream(r, to, failure);
        }
    }

    /**
     * Writes until the router closes the connection, and records how much that was. A whole head bears the notices,
     * since an answer without a request limit ends the limit that the replica stated before.
     */
    private void writeWithoutEnd(EndlessAnswer answer, StandinReplica.ReceivedRequest r, StandinReplica.Connection to)
            throws IOException, InterruptedException {
        long from = clock.millis();
        long sent = 0;
        try {
            String beginning = answer.beginning(r);
            to.write(answer.hasWholeHead() ? withNotices(r, beginning) : beginning);
            while (true) {
                sent += answer.writeNext(to);
            }
        } finally {
            history.add(new History.Endless(id(), r.id(), sent, from, clock.millis()));
        }
    }

    /** Ends at a request, in some cases after the first event of an answer that states no length. */
    private void end(StandinReplica.ReceivedRequest r, StandinReplica.Connection to)
            throws IOException, InterruptedException {
        if (!r.cacheSalt().isEmpty() && random.nextBoolean()) {
            to.write(StandinReplica.streamHead(r).replace("Transfer-Encoding: chunked\r\n", ""));
            to.write(RequestKind.event(r.id(), r.lastEventId() + 1, software));
        }
        Thread.sleep(END_MILLIS);
        String cause = CrashingCallers.cause(r.head()).orElseThrow();
        history.add(new History.Ended(cause, r.id(), id(), clock.millis()));
        onEnd.accept(this);
    }

    private enum Failure {
        NONE,
        REFUSES,
        LOSES,
        BREAKS_OFF,
        ANSWERS_TWICE
    }

    private void answer(StandinReplica.ReceivedRequest r, StandinReplica.Connection to, Failure failure)
            throws IOException {
        String whole = withNotices(r, StandinReplica.ok(r, RequestKind.SAFE.answer(r.id())));
        if (failure == Failure.BREAKS_OFF) {
            to.write(whole.substring(0, whole.length() - 2)).close();
        } else if (failure == Failure.ANSWERS_TWICE) {
            to.write(whole + StandinReplica.ok(r, "stray"));
        } else {
            to.write(whole);
        }
    }

    private void stream(StandinReplica.ReceivedRequest r, StandinReplica.Connection to, Failure failure)
            throws IOException, InterruptedException {
        to.write(withNotices(r, StandinReplica.streamHead(r)));
        for (int e = r.lastEventId() + 1; e <= RequestKind.events(); e++) {
            String event = RequestKind.event(r.id(), e, software);
            if (failure == Failure.BREAKS_OFF && e == RequestKind.events() / 2) {
                to.write(StandinReplica.chunk(event.substring(0, event.length() / 2)))
                        .reset();
                return;
            }
            to.write(StandinReplica.chunk(event));
            sleep(EVENT_MILLIS);
        }
        to.write("0\r\n\r\n");
    }

    @Override
    public void close() throws IOException {
        link.close();
        replica.close();
    }
}
