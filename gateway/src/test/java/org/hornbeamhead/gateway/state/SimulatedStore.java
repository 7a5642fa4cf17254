package org.hornbeamhead.gateway.state;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.time.Timers;

/** A simulated platform store in virtual time, with a separate connection for each router. */
final class SimulatedStore {
    private static final long ANSWER_MILLIS = 4;
    private static final long TIMEOUT_MILLIS = 600;

    private final Timers timers;
    private final Map<String, StoreItem> items = new TreeMap<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private long revision = 1;
    int reads;

    SimulatedStore(Timers timers) {
        this.timers = timers;
    }

    /** Writes a key and returns its revision. */
    long put(String key, String value) {
        return write(new StoreItem(key, ++revision, value, false));
    }

    void remove(String key) {
        write(new StoreItem(key, ++revision, "", true));
    }

    private long write(StoreItem item) {
        items.put(item.key(), item);
        List<Runnable> pending = List.copyOf(waiting);
        waiting.clear();
        pending.forEach(Runnable::run);
        return item.revision();
    }

    /**
     * Returns the store as seen by one router.
     *
     * @param reachable whether calls are answered; a call whose answer is ready while the router is disconnected fails
     *     with a timeout
     * @return the client of the router
     */
    PlatformStore clientFor(BooleanSupplier reachable) {
        return new Client(reachable);
    }

    private final class Client implements ReadOnlyStore {
        private final BooleanSupplier reachable;

        Client(BooleanSupplier reachable) {
            this.reachable = reachable;
        }

        @Override
        public Promise<StoreChanges> readAll() {
            return answered(new SettablePromise<>(), 0, () -> {
                List<StoreItem> present =
                        items.values().stream().filter(i -> !i.removed()).toList();
                return new StoreChanges(present, revision, true);
            });
        }

        @Override
        public Promise<StoreChanges> watch(long after, Duration wait) {
            SettablePromise<StoreChanges> answer = new SettablePromise<>();
            if (revision > after) {
                return answered(answer, wait.toMillis(), () -> since(after));
            }
            Runnable complete = () -> answered(answer, 0, () -> since(after));
            waiting.add(complete);
            timers.schedule(wait.toMillis(), () -> {
                if (waiting.remove(complete)) {
                    complete.run();
                }
            });
            timers.schedule(wait.toMillis() + TIMEOUT_MILLIS, () -> fail(answer));
            return answer;
        }

        private StoreChanges since(long after) {
            return new StoreChanges(
                    items.values().stream().filter(i -> i.revision() > after).toList(), revision, false);
        }

        private Promise<StoreChanges> answered(
                SettablePromise<StoreChanges> answer, long waitMillis, Supplier<StoreChanges> changes) {
            reads++;
            timers.schedule(ANSWER_MILLIS, () -> {
                if (reachable.getAsBoolean()) {
                    answer.trySet(changes.get());
                }
            });
            timers.schedule(waitMillis + TIMEOUT_MILLIS, () -> fail(answer));
            return answer;
        }

        private static void fail(SettablePromise<StoreChanges> answer) {
            answer.trySetException(new StoreUnavailableException("no answer in time"));
        }
    }
}
