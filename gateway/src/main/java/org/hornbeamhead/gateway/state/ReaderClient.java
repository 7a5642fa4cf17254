package org.hornbeamhead.gateway.state;

import io.activej.promise.Promise;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.hornbeamhead.core.mirror.ReaderSelector;
import org.hornbeamhead.core.time.Clock;

/** The routers at which this one may wait for changes instead of reading the store, and how far they are trusted. */
public final class ReaderClient {
    /**
     * How long a question waits at a reader. Together with the limit on its answer this is how late a lost reader is
     * noticed.
     */
    private static final Duration WAIT = Duration.ofMillis(500);
    /** A reader whose view was surely the newest this long ago is cut off from the store, in milliseconds. */
    private static final long MAX_AGE_MILLIS = 2_000;

    private final Clock clock;
    private final Supplier<List<RouterEntry>> readers;
    private final String self;
    private final MirrorClient client;
    private final ReaderSelector selector = new ReaderSelector();
    private boolean lastFailed;

    /**
     * Makes a view that has asked nobody.
     *
     * @param clock the clock
     * @param readers the readers, the first choice first
     * @param self this router's name
     * @param asking asks them
     */
    ReaderClient(Clock clock, Supplier<List<RouterEntry>> readers, String self, MirrorClient asking) {
        this.clock = clock;
        this.readers = readers;
        this.self = self;
        this.client = asking;
    }

    /** Whether this router reads the store for others. */
    boolean isSelfReader() {
        return readers.get().stream().anyMatch(r -> r.node().equals(self));
    }

    /** Picks the reader to wait at; empty when the store itself is to be read. */
    Optional<String> select() {
        if (isSelfReader()) {
            return Optional.empty();
        }
        List<String> addresses = readers.get().stream().map(RouterEntry::peer).toList();
        return selector.select(addresses, clock.monotonicMillis());
    }

    /**
     * Asks a reader. One that failed lately has to answer at once before this router waits at it again, and so has the
     * next one after a failure: this router has waited long enough already.
     *
     * @param reader its address
     * @param after the revision that is known here
     * @return its answer; fails when none comes, or when it comes from a router that the store does not tell either
     */
    Promise<MirrorAnswer> fetch(String reader, long after) {
        Duration wait = lastFailed || selector.isFailing(reader) ? Duration.ZERO : WAIT;
        return client.fetch(reader, after, wait)
                .then(answer -> isCurrent(answer)
                        ? Promise.of(answer)
                        : Promise.ofException(new StoreUnavailableException("its view is old")))
                .whenResult(() -> recordSuccess(reader))
                .whenException(() -> recordFailure(reader));
    }

    private void recordSuccess(String reader) {
        lastFailed = false;
        selector.recordSuccess(reader);
    }

    private void recordFailure(String reader) {
        lastFailed = true;
        selector.recordFailure(reader, clock.monotonicMillis());
    }

    private static boolean isCurrent(MirrorAnswer answer) {
        return answer.readsStore() && answer.ageMillis() < MAX_AGE_MILLIS;
    }
}
