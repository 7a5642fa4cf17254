package org.hornbeamhead.core.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A service in virtual time: routers that share what they saw, replicas that are back some seconds after they ended,
 * sound requests, and some that end each replica that begins to run them.
 */
final class CrashPlay {
    private static final long BACK_MILLIS = 3_500;
    private static final long NOTICED_MILLIS = 3;
    private static final int TRIES = 2;
    private static final int SLOTS = 64;
    static final int LONGEST_RUN_MILLIS = 2_500;

    private final GossipingRouters routers;
    private final Random random = new Random(11);
    private final List<Replica> replicas = new ArrayList<>();
    private final Map<RequestFingerprint, List<Long>> sends = new HashMap<>();
    private final Map<RequestFingerprint, List<Long>> ends = new HashMap<>();
    private final Set<RequestFingerprint> heldSound = new HashSet<>();
    private int runs;
    private final Map<RequestFingerprint, Long> soundArrivals = new HashMap<>();
    private final Set<RequestFingerprint> soundServed = new HashSet<>();

    /** One place at which replicas run one after the other. */
    private static final class Replica {
        private int run;
        private boolean up = true;
        private final Set<Call> calls = new HashSet<>();
    }

    /** One arrival of a request at a router. */
    private static final class Call {
        private final RequestFingerprint request;
        private final String router;
        private final boolean ends;
        private int tries;
        private long sentAt;

        Call(RequestFingerprint request, String router, boolean ends) {
            this.request = request;
            this.router = router;
            this.ends = ends;
        }
    }

    CrashPlay(GossipingRouters routers, int count) {
        this.routers = routers;
        for (int i = 0; i < count; i++) {
            Replica replica = new Replica();
            replica.run = ++runs;
            replicas.add(replica);
        }
    }

    private String anyRouter() {
        return routers.names.get(random.nextInt(routers.names.size()));
    }

    /** A request that ends replicas comes once, at any router. */
    void endingArrives(RequestFingerprint request) {
        send(new Call(request, anyRouter(), true));
    }

    /** A sound request comes, at any router. */
    void soundArrives(RequestFingerprint request) {
        soundArrivals.put(request, now());
        send(new Call(request, anyRouter(), false));
    }

    private void send(Call call) {
        if (routers.histories.get(call.router).heldMillis(call.request).isPresent()) {
            if (!call.ends) {
                heldSound.add(call.request);
            }
            return;
        }
        List<Replica> free =
                replicas.stream().filter(r -> r.up && r.calls.size() < SLOTS).toList();
        if (free.isEmpty()) {
            return;
        }
        Replica replica = free.get(random.nextInt(free.size()));
        call.tries++;
        call.sentAt = now();
        replica.calls.add(call);
        if (call.ends) {
            sends.computeIfAbsent(call.request, r -> new ArrayList<>()).add(now());
        }
        int run = replica.run;
        long millis = call.ends ? 40 + random.nextInt(160) : random.nextInt(LONGEST_RUN_MILLIS);
        routers.timers.schedule(millis, () -> {
            if (replica.run == run && replica.up && call.ends) {
                end(replica, call);
            } else if (replica.run == run && replica.calls.remove(call)) {
                soundServed.add(call.request);
                routers.histories.get(call.router).completed(call.request);
            }
        });
    }

    private void end(Replica replica, Call cause) {
        ends.computeIfAbsent(cause.request, r -> new ArrayList<>()).add(now());
        replica.up = false;
        int run = replica.run;
        List<Call> lost = List.copyOf(replica.calls);
        replica.calls.clear();
        lost.forEach(call -> routers.timers.schedule(NOTICED_MILLIS + random.nextInt(10), () -> {
            routers.histories.get(call.router).crashed(new LostRun(call.request, call.sentAt, now()), run);
            if (call.tries < TRIES) {
                send(call);
            }
        }));
        routers.timers.schedule(BACK_MILLIS, () -> {
            replica.run = ++runs;
            replica.up = true;
        });
    }

    private long now() {
        return routers.clock.monotonicMillis();
    }

    /** The sends of a request later than a time after the third replica ended under it. */
    long sendsAfterThirdEnd(RequestFingerprint request, long millis) {
        List<Long> all = ends.getOrDefault(request, List.of());
        return all.size() < 3
                ? 0
                : sends.get(request).stream()
                        .filter(at -> at > all.get(2) + millis)
                        .count();
    }

    int ends(RequestFingerprint request) {
        return ends.getOrDefault(request, List.of()).size();
    }

    /** The share of sound requests that came since a time ago and ran to their end. */
    double soundServedLately(long millis) {
        long since = now() - LONGEST_RUN_MILLIS - millis;
        List<RequestFingerprint> late = soundArrivals.entrySet().stream()
                .filter(e -> e.getValue() >= since)
                .map(Map.Entry::getKey)
                .toList();
        return (double) late.stream().filter(soundServed::contains).count() / late.size();
    }

    /** Sound requests that some router held back when they came. */
    int soundHeld() {
        return heldSound.size();
    }
}
