package org.hornbeamhead.gateway.state;

import io.activej.promise.Promise;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.hornbeamhead.core.mirror.ReaderSelector;
import org.hornbeamhead.core.time.Clock;

/** Fetches changes from the routers that read the store for others, and tracks which of them fail. */
public final class ReaderClient {
    /**
     * How long a request waits at a reader. The failure of a reader is detected after this wait and the timeout of its
     * answer.
     */
    private static final Duration WAIT = Duration.ofMillis(500);
    /** Age of a confirmed view, in milliseconds, from which its reader is considered disconnected from the store. */
    private static final long MAX_AGE_MILLIS = 2_000;

    private final Clock clock;
    private final Supplier<List<RouterEntry>> readers;
    private final String self;
    private final MirrorClient client;
    private final ReaderSelector selector = new ReaderSelector();
    private boolean lastFailed;

    /**
     * Creates a client that has sent no request yet.
     *
     * @param clock the clock
     * @param readers supplies the readers in order of preference
     * @param self the name of this router
     * @param client sends the requests
     */
    ReaderClient(Clock clock, Supplier<List<RouterEntry>> readers, String self, MirrorClient client) {
        this.clock = clock;
        this.readers = readers;
        this.self = self;
        this.client = client;
    }

    /** Returns whether this router reads the store for others. */
    boolean isSelfReader() {
        return readers.get().stream().anyMatch(r -> r.node().equals(self));
    }

    /** Selects the reader to wait for; empty if the store itself should be read. */
    Optional<String> select() {
        if (isSelfReader()) {
            return Optional.empty();
        }
        List<String> addresses = readers.get().stream().map(RouterEntry::peer).toList();
        return selector.select(addresses, clock.monotonicMillis());
    }

    /**
     * Fetches changes from a reader. A reader that failed recently must first answer a request without a wait, and so
     * must any reader directly after a failure, because this router has already been waiting for a timeout.
     *
     * @param reader the address of the reader
     * @param after the last revision known to this router
     * @return the answer; fails if none arrives, or if the reader itself is not up to date with the store
     */
    Promise<MirrorAnswer> fetch(String reader, long after) {
        Duration wait = lastFailed || selector.isFailing(reader) ? Duration.ZERO : WAIT;
        return client.fetch(reader, after, wait)
                .then(answer -> isCurrent(answer)
                        ? Promise.of(answer)
                        : Promise.ofException(
                                new StoreUnavailableException("the reader's view of the store is out of date")))
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
