package org.hornbeamhead.gateway.state;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;

/** Simulated routers that follow one store in virtual time, while replicas renew their entries. */
final class SimulatedFleet {
    static final String MODEL = "m";
    static final long BOUND_MILLIS = 8_000;

    private static final long SEED = 11;
    private static final int REPLICAS = 62;
    private static final long RENEWAL_MILLIS = 1_200;
    private static final long HOP_MILLIS = 2;
    private static final String WEIGHTS_PREFIX = "weights/";
    private static final String REPLICA_PREFIX = "replica/";

    final ManualClock clock = new ManualClock(1_000_000);
    final ManualTimers timers = new ManualTimers(clock);
    final SimulatedStore store = new SimulatedStore(timers);
    final List<Member> members = new ArrayList<>();

    private final Random random = new Random(SEED);

    /** Whether the first router can connect to the second. */
    BiPredicate<Member, Member> connected = (a, b) -> true;

    /** Whether replicas renew their entries. */
    boolean renewalsEnabled = true;

    private long renewals;

    SimulatedFleet(int routers) {
        for (int i = 0; i < REPLICAS; i++) {
            renew("r" + i);
        }
        for (int i = 0; i < routers; i++) {
            members.add(new Member("n" + i, "d" + i % 6, i % 5 == 0 ? 195 : 28));
        }
        members.forEach(m -> store.put(m.entry.key(), m.entry.toJson()));
        members.forEach(Member::start);
    }

    private void renew(String replica) {
        if (renewalsEnabled) {
            store.put(REPLICA_PREFIX + replica, "ready " + renewals++);
        }
        timers.schedule(RENEWAL_MILLIS + random.nextInt(50), () -> renew(replica));
    }

    /** Returns the routers that read the store for the others, as chosen by routers with a complete list. */
    List<Member> readers() {
        return members.get(0).list.readers().stream().map(r -> member(r.node())).toList();
    }

    Member member(String node) {
        return members.stream()
                .filter(m -> m.entry.node().equals(node))
                .findFirst()
                .orElseThrow();
    }

    /** Publishes a version of the weights and returns the time. */
    long publish(long version) {
        store.put(WEIGHTS_PREFIX + MODEL, Long.toString(version));
        return clock.monotonicMillis();
    }

    /** Advances the time until all the given routers know a version, and returns how long that took. */
    long millisUntilKnown(long version, List<Member> routers) {
        long start = clock.monotonicMillis();
        while (routers.stream().anyMatch(m -> m.weights.latestVersion(MODEL) < version)) {
            timers.advance(1);
            if (clock.monotonicMillis() - start > 60_000) {
                throw new AssertionError("version not known to all routers after a minute");
            }
        }
        return clock.monotonicMillis() - start;
    }

    /** A simulated router that receives changes of the store. */
    final class Member {
        final RouterEntry entry;
        boolean alive;
        boolean frozen;
        boolean reachesStore = true;
        StoreMirror mirror;
        RoutingState state;
        WeightsView weights;
        RouterList list;
        StoreView view;
        private int generation;
        private final List<Runnable> deferred = new ArrayList<>();
        private Map<String, String> states;
        final List<Long> publishedRevisions = new ArrayList<>();

        private Member(String node, String dataCentre, double capacity) {
            entry = new RouterEntry(node, node + ":c", node + ":p", node + ":h", dataCentre, capacity, 0);
        }

        void start() {
            alive = true;
            frozen = false;
            generation++;
            publishedRevisions.clear();
            states = new HashMap<>();
            mirror = new StoreMirror();
            state = new RoutingState();
            weights = new WeightsView(BOUND_MILLIS);
            list = new RouterList(entry, () -> true, clock);
            SuspensionDetector detector = new SuspensionDetector(this::schedule, clock, millis -> {});
            WeightsListener listener = new WeightsListener(clock, mirror, state, weights);
            view = new StoreView(new StoreView.Dependencies(
                    this::schedule,
                    clock,
                    random,
                    store.clientFor(() -> reachesStore),
                    mirror,
                    state,
                    weights,
                    detector,
                    list,
                    entry.node(),
                    () -> list.peerAddresses(List.of()),
                    this::query,
                    this::query));
            mirror.addListener(item -> changed(item, listener));
            view.start();
        }

        void kill() {
            alive = false;
            generation++;
        }

        void resume() {
            frozen = false;
            List<Runnable> actions = List.copyOf(deferred);
            deferred.clear();
            actions.forEach(Runnable::run);
        }

        private void schedule(long delay, Runnable action) {
            int scheduledGeneration = generation;
            timers.schedule(delay, () -> run(scheduledGeneration, action));
        }

        private void run(int scheduledGeneration, Runnable action) {
            if (scheduledGeneration != generation) {
                return;
            }
            if (frozen) {
                deferred.add(action);
            } else {
                action.run();
            }
        }

        private void changed(StoreItem item, WeightsListener listener) {
            String newState = item.removed() ? "" : item.value().split(" ", 2)[0];
            String previousState = states.put(item.key(), newState);
            if (item.key().startsWith(RouterEntry.PREFIX)) {
                list.update(item);
            } else if (item.key().startsWith(WEIGHTS_PREFIX)) {
                listener.versionPublished(MODEL, Long.parseLong(item.value()), item.revision());
                publishedRevisions.add(item.revision());
            }
            if (!item.key().startsWith(REPLICA_PREFIX) || !newState.equals(previousState)) {
                view.recordChange(item);
            }
        }

        private Promise<MirrorAnswer> query(String peer, long after, Duration wait) {
            SettablePromise<MirrorAnswer> answer = new SettablePromise<>();
            Member other = member(peer.substring(0, peer.indexOf(':')));
            schedule(wait.toMillis() + 300, () -> answer.trySetException(new StoreUnavailableException("silent")));
            timers.schedule(HOP_MILLIS, () -> {
                if (!connected.test(this, other)) {
                    return;
                }
                if (!other.alive) {
                    schedule(0, () -> answer.trySetException(new StoreUnavailableException("refused")));
                    return;
                }
                other.run(other.generation, () -> other.view
                        .query(after, wait.toMillis())
                        .whenResult(result -> schedule(HOP_MILLIS, () -> {
                            if (connected.test(this, other)) {
                                answer.trySet(result);
                            }
                        })));
            });
            return answer;
        }
    }
}
