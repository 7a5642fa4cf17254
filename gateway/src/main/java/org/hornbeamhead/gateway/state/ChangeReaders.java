package org.hornbeamhead.gateway.state;

import io.activej.promise.Promise;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.hornbeamhead.core.mirror.ReaderTrust;
import org.hornbeamhead.core.time.Clock;

/** The routers at which this one may wait for changes instead of reading the store, and how far they are trusted. */
public final class ChangeReaders {
    /**
     * How long a question waits at a reader. Together with the limit on its answer this is how late a lost reader is
     * noticed.
     */
    private static final Duration WAIT = Duration.ofMillis(500);
    /** A reader whose view was surely the newest this long ago is cut off from the store, in milliseconds. */
    private static final long STALE_MILLIS = 2_000;

    private final Clock clock;
    private final Supplier<List<RouterEntry>> readers;
    private final String self;
    private final MirrorAsking asking;
    private final ReaderTrust trust = new ReaderTrust();
    private boolean lastFailed;

    /**
     * Makes a view that has asked nobody.
     *
     * @param clock the clock
     * @param readers the readers, the first choice first
     * @param self this router's name
     * @param asking asks them
     */
    ChangeReaders(Clock clock, Supplier<List<RouterEntry>> readers, String self, MirrorAsking asking) {
        this.clock = clock;
        this.readers = readers;
        this.self = self;
        this.asking = asking;
    }

    /** Whether this router reads the store for others. */
    boolean includeSelf() {
        return readers.get().stream().anyMatch(r -> r.node().equals(self));
    }

    /** Picks the reader to wait at; empty when the store itself is to be read. */
    Optional<String> pick() {
        if (includeSelf()) {
            return Optional.empty();
        }
        List<String> addresses = readers.get().stream().map(RouterEntry::peer).toList();
        return trust.pick(addresses, clock.monotonicMillis());
    }

    /**
     * Asks a reader. One that failed lately has to answer at once before this router waits at it again, and so has the
     * next one after a failure: this router has waited long enough already.
     *
     * @param reader its address
     * @param after the revision that is known here
     * @return its answer; fails when none comes, or when it comes from a router that the store does not tell either
     */
    Promise<MirrorAnswer> ask(String reader, long after) {
        Duration wait = lastFailed || trust.isDoubted(reader) ? Duration.ZERO : WAIT;
        return asking.ask(reader, after, wait)
                .then(answer -> isCurrent(answer)
                        ? Promise.of(answer)
                        : Promise.ofException(new StoreUnavailableException("its view is old")))
                .whenResult(() -> answered(reader))
                .whenException(() -> failed(reader));
    }

    private void answered(String reader) {
        lastFailed = false;
        trust.answered(reader);
    }

    private void failed(String reader) {
        lastFailed = true;
        trust.failed(reader, clock.monotonicMillis());
    }

    private static boolean isCurrent(MirrorAnswer answer) {
        return answer.readsStore() && answer.ageMillis() < STALE_MILLIS;
    }
}
