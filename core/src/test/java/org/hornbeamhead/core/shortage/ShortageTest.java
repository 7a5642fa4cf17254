package org.hornbeamhead.core.shortage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.hornbeamhead.core.engine.EngineAdmission;
import org.hornbeamhead.core.engine.EngineCandidate;
import org.hornbeamhead.core.engine.EngineChoice;
import org.hornbeamhead.core.engine.EngineLoad;
import org.hornbeamhead.core.shortage.AdmissionQueue.Decision;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the admission of one router in virtual time, before engines that it has for itself. */
public class ShortageTest {
    private static final int ENGINES = 4;
    private static final int SLOTS = 24;
    private static final long RUN_MILLIS = 12_000;
    private static final long URGENT_TARGET = 515;
    private static final long DEFERRABLE_TARGET = 1_507;
    private static final long TIME_LEFT = 5_000;
    /** Per second; fills half of the slots of all engines. */
    private static final double DEFERRABLE_RATE = 32;

    private static final double URGENT_RATE = 12;

    private record Job(String id, String customer, boolean urgent, long arrivedAt) {
        double prefillMillis() {
            return urgent ? 71 : 15;
        }

        long decodeMillis() {
            return urgent ? 280 : 1_500;
        }

        long targetMillis() {
            return urgent ? URGENT_TARGET : DEFERRABLE_TARGET;
        }
    }

    /** What happened to the requests of one customer. */
    private static final class Counts {
        private int arrived;
        private int refused;
        private int onTime;
        private int waited;

        double servedShare() {
            return 1 - (double) refused / arrived;
        }
    }

    /** An engine that prefills one prompt at a time and starts urgent requests first. */
    private final class Engine {
        private final EngineLoad load = new EngineLoad();
        private final PriorityQueue<Job> queued =
                new PriorityQueue<>(Comparator.comparing((Job j) -> !j.urgent()).thenComparingLong(Job::arrivedAt));
        private int running;
        private double prefillUntil;

        EngineCandidate candidate(int index) {
            return new EngineCandidate("e" + index, "d", 1, true, load, 92_000, SLOTS, false, Long.MAX_VALUE, false);
        }

        void take(Job job) {
            load.recordSent(job.id(), job.prefillMillis(), 1_000, !job.urgent(), now());
            queued.add(job);
            startNext();
        }

        private void startNext() {
            while (running < SLOTS && !queued.isEmpty()) {
                Job job = queued.remove();
                running++;
                prefillUntil = Math.max(prefillUntil, (double) now()) + job.prefillMillis();
                long firstMillis = Math.round(prefillUntil) - now();
                timers.schedule(firstMillis, () -> {
                    load.recordFirstEvent(job.id(), now());
                    counts(job).onTime += now() - job.arrivedAt() <= job.targetMillis() ? 1 : 0;
                });
                timers.schedule(firstMillis + job.decodeMillis(), () -> {
                    load.recordEnded(job.id());
                    running--;
                    startNext();
                    drain();
                });
            }
        }
    }

    private final List<Engine> engines = new ArrayList<>();
    private final Map<String, Counts> counts = new HashMap<>();
    private ManualTimers timers;
    private ManualClock clock;
    private ServiceAdmission<Job> admission;
    private boolean defers;

    private long now() {
        return clock.monotonicMillis();
    }

    private Counts counts(Job job) {
        return counts.computeIfAbsent(job.customer(), c -> new Counts());
    }

    private List<EngineCandidate> candidates() {
        return IntStream.range(0, ENGINES)
                .mapToObj(i -> engines.get(i).candidate(i))
                .toList();
    }

    private EngineRoom room() {
        return admission.room(URGENT_RATE + DEFERRABLE_RATE, URGENT_TARGET, now());
    }

    private void arrive(Job job) {
        counts(job).arrived++;
        admission.recordArrival(!job.urgent(), now());
        if (job.urgent() || !defers) {
            send(job);
            return;
        }
        WaitingRequest<Job> request = new WaitingRequest<>(
                job, job.customer(), 2, 922, 4_000, now() + DEFERRABLE_TARGET - 15, now() + DEFERRABLE_TARGET / 2);
        AdmissionQueue.Offer<Job> offer =
                admission.offer(request, room().room(candidates(), now()), AdmissionQueue.Bounds.ROUTER, now());
        offer.displaced().forEach(r -> counts(r.item()).refused++);
        counts(job).refused += offer.decision() == Decision.REFUSE ? 1 : 0;
        counts(job).waited += offer.decision() == Decision.WAIT ? 1 : 0;
        if (offer.decision() == Decision.SEND) {
            send(job);
        }
    }

    private void drain() {
        admission.expired(now()).forEach(r -> counts(r.item()).refused++);
        admission.poll(room().room(candidates(), now()), now()).forEach(this::send);
    }

    /** Sends a request to the engine with the shortest wait, unless it would be late because of others. */
    private void send(Job job) {
        List<EngineCandidate> withRoom = job.urgent() || !defers ? List.of() : room().withRoom(candidates(), now());
        EngineCandidate best = (withRoom.isEmpty() ? candidates() : withRoom)
                .stream().min(Comparator.comparingDouble(this::waitMillis)).orElseThrow();
        double wait = waitMillis(best);
        EngineChoice choice = new EngineChoice(
                best,
                0,
                wait,
                wait + job.prefillMillis(),
                0,
                0,
                Optional.empty(),
                0,
                false,
                false,
                false,
                "least wait");
        if (EngineAdmission.retryAfterMillis(choice, job.targetMillis(), TIME_LEFT)
                .isPresent()) {
            counts(job).refused++;
        } else {
            admission.recordSent(!job.urgent(), now());
            engines.get(Integer.parseInt(best.id().substring(1))).take(job);
        }
    }

    /** As the engine chooser predicts it. */
    private double waitMillis(EngineCandidate engine) {
        int running = engine.load().runningRequests(now());
        return engine.load().waitMillis(now())
                + Math.max(0, running + 1 - SLOTS) / (double) SLOTS * 500
                + running * 0.6;
    }

    private void run(boolean withAdmission, Map<String, Double> ratesByCustomer) {
        engines.clear();
        counts.clear();
        clock = new ManualClock(0);
        timers = new ManualTimers(clock);
        admission = new ServiceAdmission<>();
        defers = withAdmission;
        IntStream.range(0, ENGINES).forEach(i -> engines.add(new Engine()));
        Random random = new Random(1616);
        // Sorted, so that a seed gives the same arrivals in each run.
        new TreeMap<>(ratesByCustomer).forEach((customer, rate) -> {
            double at = 0;
            for (int i = 0; at < RUN_MILLIS; i++) {
                at += -Math.log(1 - random.nextDouble()) / rate * 1_000;
                Job job = new Job(customer + i, customer, customer.equals("urgent"), Math.round(at));
                timers.schedule(job.arrivedAt(), () -> arrive(job));
            }
        });
        for (long t = 0; t < RUN_MILLIS + DEFERRABLE_TARGET; t += 20) {
            timers.schedule(t, this::drain);
        }
        timers.advance(RUN_MILLIS * 2);
        assertEquals(admission.waiting(), 0);
    }

    private static Map<String, Double> rates(double deferrableFactor) {
        return Map.of("urgent", URGENT_RATE, "deferrable", DEFERRABLE_RATE * deferrableFactor);
    }

    /**
     * Guards against deferrable requests that take the slots which urgent ones need: with all requests let in, urgent
     * ones are refused during the burst. Guards also against deferrable requests that are not served at all.
     */
    @Test
    public void burstOfDeferrableRequestsLeavesUrgentOnesServed() {
        run(false, rates(2.6));
        double letAllIn = counts.get("urgent").servedShare();
        run(true, rates(2.6));
        double urgent = counts.get("urgent").servedShare();
        Counts deferrable = counts.get("deferrable");
        double all = 1
                - (double) counts.values().stream().mapToInt(c -> c.refused).sum()
                        / counts.values().stream().mapToInt(c -> c.arrived).sum();
        String figures = "urgent served " + letAllIn + " -> " + urgent + ", deferrable " + deferrable.servedShare()
                + " on time " + (double) deferrable.onTime / deferrable.arrived;
        assertTrue(letAllIn < 0.9, figures);
        assertTrue(urgent >= 0.99, figures);
        assertTrue(deferrable.servedShare() >= all / 4, figures);
    }

    /** Guards against urgent requests that need all engines for long and leave nothing to deferrable ones. */
    @Test
    public void overloadOfUrgentRequestsLeavesDeferrableOnesAQuarter() {
        run(true, Map.of("urgent", URGENT_RATE * 8, "deferrable", DEFERRABLE_RATE));
        double all = 1
                - (double) counts.values().stream().mapToInt(c -> c.refused).sum()
                        / counts.values().stream().mapToInt(c -> c.arrived).sum();
        double deferrable = counts.get("deferrable").servedShare();
        assertTrue(deferrable >= all / 4, deferrable + " of " + all);
    }

    /** Guards against one customer within its quota that takes the capacity of others of its priority. */
    @Test
    public void customerAtFiveTimesItsRateLeavesOthersTheirShare() {
        double each = DEFERRABLE_RATE / 4;
        run(true, Map.of("urgent", URGENT_RATE, "a", each, "b", each, "c", each, "hot", each * 5));
        List.of("a", "b", "c")
                .forEach(c -> assertTrue(
                        counts.get(c).servedShare() >= 0.97,
                        c + " " + counts.get(c).servedShare()));
        assertTrue(counts.get("hot").servedShare() < 0.9, "there is a shortage");
        assertTrue(counts.get("hot").servedShare() > 0.4, "what others leave is used");
    }

    /** Multiples of the usual rate of deferrable requests that the engines have room for. */
    @DataProvider
    public Object[][] enoughRoom() {
        return new Object[][] {{0.5}, {1.0}};
    }

    /** Guards against requests that wait or are refused without a shortage. */
    @Test(dataProvider = "enoughRoom")
    public void nothingWaitsWithoutShortage(double factor) {
        run(true, rates(factor));
        Counts deferrable = counts.get("deferrable");
        assertEquals(deferrable.waited, 0);
        assertEquals(deferrable.refused, 0);
    }

    /** Guards against slots that stay free for urgent requests of long ago. */
    @Test
    public void urgentRequestsAreForgotten() {
        ServiceAdmission<String> shares = new ServiceAdmission<>();
        shares.recordArrival(false, 0);
        assertEquals(shares.room(100, URGENT_TARGET, 0).urgentPerSecond(), 100.0);
        shares.recordArrival(true, 16_000);
        assertEquals(shares.room(100, URGENT_TARGET, 16_000).urgentPerSecond(), 0.0);
    }

    /** The rate of urgent requests per engine, and the slots of 24 that stay free for them. */
    @DataProvider
    public Object[][] reserves() {
        return new Object[][] {{0, 0}, {91.0 / 63, 2}, {237.0 / 63, 3}, {1_000, 12}};
    }

    /** Guards against a reserve where there are no urgent requests, and one that leaves engines idle. */
    @Test(dataProvider = "reserves")
    public void reserveFollowsTheNeedOfUrgentRequests(double urgentPerEngine, int expected) {
        assertEquals(new EngineRoom(urgentPerEngine * 63, URGENT_TARGET).reserve(SLOTS, 63), expected);
    }
}
