package org.hornbeamhead.core.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/**
 * Simulates a service in virtual time: routers that share crash reports, replicas that restart some seconds after a
 * crash, harmless requests, and requests that crash every replica that runs them because of one of their features.
 */
final class CrashSimulation {
    private static final long RESTART_MILLIS = 3_500;
    private static final long MIN_DETECTION_MILLIS = 3;
    private static final int MAX_ATTEMPTS = 2;
    private static final int SLOTS = 64;
    static final int MAX_RUN_MILLIS = 2_500;
    /** How long a request waits at a replica before it runs. */
    private static final int MAX_START_MILLIS = 100;

    private final GossipingRouters routers;
    private final Random random = new Random(11);
    private final List<Replica> replicas = new ArrayList<>();
    private final Map<CrashFeature, List<Long>> sendTimes = new HashMap<>();
    private final Map<CrashFeature, List<Long>> crashes = new HashMap<>();
    private final Set<RequestFingerprint> quarantinedHarmless = new HashSet<>();
    private int lastRun;
    private final Map<RequestFingerprint, Long> harmlessArrivals = new HashMap<>();
    private final Set<RequestFingerprint> harmlessCompleted = new HashSet<>();

    /** A replica that restarts after each crash as a new run. */
    private static final class Replica {
        private int run;
        private boolean up = true;
        private final Set<Call> calls = new HashSet<>();
    }

    /** A call with a request at a router. */
    private static final class Call {
        private final RequestFingerprint request;
        private final String router;
        private final Optional<CrashFeature> cause;
        private int attempts;
        private long sentAtMillis;
        private long startsAtMillis;

        Call(RequestFingerprint request, String router, Optional<CrashFeature> cause) {
            this.request = request;
            this.router = router;
            this.cause = cause;
        }
    }

    CrashSimulation(GossipingRouters routers, int count) {
        this.routers = routers;
        for (int i = 0; i < count; i++) {
            Replica replica = new Replica();
            replica.run = ++lastRun;
            replicas.add(replica);
        }
    }

    private String randomRouter() {
        return routers.names.get(random.nextInt(routers.names.size()));
    }

    /** Sends a request that crashes replicas because of its content, to a random router. */
    void crashingRequestArrives(RequestFingerprint request) {
        crashingRequestArrives(request, request.content());
    }

    /** Sends a request that crashes replicas because of one of its features, to a random router. */
    void crashingRequestArrives(RequestFingerprint request, CrashFeature cause) {
        send(new Call(request, randomRouter(), Optional.of(cause)));
    }

    /** Sends a harmless request to a random router. */
    void harmlessRequestArrives(RequestFingerprint request) {
        harmlessArrivals.put(request, now());
        send(new Call(request, randomRouter(), Optional.empty()));
    }

    private void send(Call call) {
        CrashHistory history = routers.historyByRouter.get(call.router);
        if (history.quarantineMillis(call.request).isPresent() && !history.admitAsTest(call.request)) {
            if (call.cause.isEmpty()) {
                quarantinedHarmless.add(call.request);
            }
            return;
        }
        List<Replica> available =
                replicas.stream().filter(r -> r.up && r.calls.size() < SLOTS).toList();
        if (available.isEmpty()) {
            return;
        }
        Replica replica = available.get(random.nextInt(available.size()));
        call.attempts++;
        call.sentAtMillis = now();
        call.startsAtMillis = now() + random.nextInt(MAX_START_MILLIS);
        replica.calls.add(call);
        call.cause.ifPresent(
                c -> sendTimes.computeIfAbsent(c, r -> new ArrayList<>()).add(now()));
        int run = replica.run;
        long runMillis =
                call.cause.isPresent() ? 40 + random.nextInt(60) : random.nextInt(MAX_RUN_MILLIS - MAX_START_MILLIS);
        routers.timers.schedule(call.startsAtMillis - now() + runMillis, () -> {
            if (replica.run == run && replica.up && call.cause.isPresent()) {
                crash(replica, call);
            } else if (replica.run == run && replica.calls.remove(call)) {
                harmlessCompleted.add(call.request);
                recordSurvival(replica, run, call);
            }
        });
    }

    private void recordSurvival(Replica replica, int run, Call call) {
        long startedAtMillis = call.startsAtMillis;
        routers.timers.schedule(Math.max(0, startedAtMillis + LostAttempt.SURVIVAL_MILLIS - now()), () -> {
            if (replica.run == run && replica.up) {
                routers.historyByRouter.get(call.router).recordSurvival(call.request, startedAtMillis);
            }
        });
    }

    private void crash(Replica replica, Call cause) {
        crashes.computeIfAbsent(cause.cause.orElseThrow(), r -> new ArrayList<>())
                .add(now());
        replica.up = false;
        int run = replica.run;
        List<Call> lost = List.copyOf(replica.calls);
        replica.calls.clear();
        lost.forEach(call -> routers.timers.schedule(MIN_DETECTION_MILLIS + random.nextInt(10), () -> {
            routers.historyByRouter.get(call.router).recordCrash(lostAttempt(call), run);
            if (call.attempts < MAX_ATTEMPTS) {
                send(call);
            }
        }));
        routers.timers.schedule(RESTART_MILLIS, () -> {
            replica.run = ++lastRun;
            replica.up = true;
        });
    }

    private LostAttempt lostAttempt(Call call) {
        OptionalLong startedAt =
                call.startsAtMillis <= now() ? OptionalLong.of(call.startsAtMillis) : OptionalLong.empty();
        return new LostAttempt(call.request, call.sentAtMillis, startedAt, now());
    }

    private long now() {
        return routers.clock.monotonicMillis();
    }

    /** Counts the sends of requests with a feature that are later than a given time after one of its crashes. */
    long sendsAfterCrash(CrashFeature cause, int crash, long delayMillis) {
        List<Long> times = crashes.getOrDefault(cause, List.of());
        return times.size() < crash
                ? 0
                : sendTimes.get(cause).stream()
                        .filter(sentMillis -> sentMillis > times.get(crash - 1) + delayMillis)
                        .count();
    }

    int crashes(CrashFeature cause) {
        return crashes.getOrDefault(cause, List.of()).size();
    }

    /** Returns the share of harmless requests that completed, among those that arrived within the last given time. */
    double recentCompletionShare(long periodMillis) {
        long since = now() - MAX_RUN_MILLIS - periodMillis;
        List<RequestFingerprint> recent = harmlessArrivals.entrySet().stream()
                .filter(e -> e.getValue() >= since)
                .map(Map.Entry::getKey)
                .toList();
        return (double) recent.stream().filter(harmlessCompleted::contains).count() / recent.size();
    }

    /** Returns the number of harmless requests that a router rejected as quarantined. */
    int quarantinedHarmlessCount() {
        return quarantinedHarmless.size();
    }
}
