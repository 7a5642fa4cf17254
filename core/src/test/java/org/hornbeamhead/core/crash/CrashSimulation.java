package org.hornbeamhead.core.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Simulates a service in virtual time: routers that share crash reports, replicas that restart some seconds after a
 * crash, harmless requests, and requests that crash every replica that runs them.
 */
final class CrashSimulation {
    private static final long RESTART_MILLIS = 3_500;
    private static final long MIN_DETECTION_MILLIS = 3;
    private static final int MAX_ATTEMPTS = 2;
    private static final int SLOTS = 64;
    static final int MAX_RUN_MILLIS = 2_500;

    private final GossipingRouters routers;
    private final Random random = new Random(11);
    private final List<Replica> replicas = new ArrayList<>();
    private final Map<RequestFingerprint, List<Long>> sendTimes = new HashMap<>();
    private final Map<RequestFingerprint, List<Long>> crashes = new HashMap<>();
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
        private final boolean crashesReplica;
        private int attempts;
        private long sentAtMillis;

        Call(RequestFingerprint request, String router, boolean crashesReplica) {
            this.request = request;
            this.router = router;
            this.crashesReplica = crashesReplica;
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

    /** Sends a request that crashes replicas once, to a random router. */
    void crashingRequestArrives(RequestFingerprint request) {
        send(new Call(request, randomRouter(), true));
    }

    /** Sends a harmless request to a random router. */
    void harmlessRequestArrives(RequestFingerprint request) {
        harmlessArrivals.put(request, now());
        send(new Call(request, randomRouter(), false));
    }

    private void send(Call call) {
        if (routers.historyByRouter
                .get(call.router)
                .quarantineMillis(call.request)
                .isPresent()) {
            if (!call.crashesReplica) {
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
        replica.calls.add(call);
        if (call.crashesReplica) {
            sendTimes.computeIfAbsent(call.request, r -> new ArrayList<>()).add(now());
        }
        int run = replica.run;
        long runMillis = call.crashesReplica ? 40 + random.nextInt(160) : random.nextInt(MAX_RUN_MILLIS);
        routers.timers.schedule(runMillis, () -> {
            if (replica.run == run && replica.up && call.crashesReplica) {
                crash(replica, call);
            } else if (replica.run == run && replica.calls.remove(call)) {
                harmlessCompleted.add(call.request);
                routers.historyByRouter.get(call.router).recordCompletion(call.request);
            }
        });
    }

    private void crash(Replica replica, Call cause) {
        crashes.computeIfAbsent(cause.request, r -> new ArrayList<>()).add(now());
        replica.up = false;
        int run = replica.run;
        List<Call> lost = List.copyOf(replica.calls);
        replica.calls.clear();
        lost.forEach(call -> routers.timers.schedule(MIN_DETECTION_MILLIS + random.nextInt(10), () -> {
            routers.historyByRouter
                    .get(call.router)
                    .recordCrash(new LostAttempt(call.request, call.sentAtMillis, now()), run);
            if (call.attempts < MAX_ATTEMPTS) {
                send(call);
            }
        }));
        routers.timers.schedule(RESTART_MILLIS, () -> {
            replica.run = ++lastRun;
            replica.up = true;
        });
    }

    private long now() {
        return routers.clock.monotonicMillis();
    }

    /** Counts the sends of a request that are later than a given time after its third crash. */
    long sendsAfterThirdCrash(RequestFingerprint request, long delayMillis) {
        List<Long> times = crashes.getOrDefault(request, List.of());
        return times.size() < 3
                ? 0
                : sendTimes.get(request).stream()
                        .filter(sentMillis -> sentMillis > times.get(2) + delayMillis)
                        .count();
    }

    int crashes(RequestFingerprint request) {
        return crashes.getOrDefault(request, List.of()).size();
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
