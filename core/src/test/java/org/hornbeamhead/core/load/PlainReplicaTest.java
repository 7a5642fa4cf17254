package org.hornbeamhead.core.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the choice among replicas of plain services. */
public class PlainReplicaTest {
    private static final OptionalInt USUAL = OptionalInt.of(100);
    private static final OptionalInt SLOW = OptionalInt.of(250);
    private static final OptionalInt NOT_STATED = OptionalInt.empty();

    private static PlainReplica replica(int known, int stated, OptionalInt pace) {
        StatedLoad load = new StatedLoad();
        load.observe(new LoadStatement(stated, 0, 6, pace), 0, 0);
        return new PlainReplica(known, load, true, 0);
    }

    private static int choose(long nowMillis, List<PlainReplica> replicas) {
        return replicas.indexOf(
                replicas.stream().min(PlainReplica.byExpectedWork(nowMillis)).orElseThrow());
    }

    @DataProvider
    public Object[][] choices() {
        return new Object[][] {
            {"idle but slow", 0, replica(0, 0, SLOW), replica(1, 0, USUAL), 1},
            {"slow, the other one loaded", 0, replica(0, 0, SLOW), replica(2, 0, USUAL), 0},
            {"slow long ago", 1_000, replica(0, 0, SLOW), replica(1, 0, USUAL), 0},
            {"at the limit", 0, replica(0, 0, OptionalInt.of(130)), replica(0, 0, USUAL), 0},
            {"more stated than known", 0, replica(0, 3, USUAL), replica(1, 0, USUAL), 1},
            {"stated long ago", 300, replica(0, 3, USUAL), replica(1, 0, USUAL), 0},
        };
    }

    @Test(dataProvider = "choices")
    public void replicaWithLeastExpectedWorkIsChosen(
            String name, long nowMillis, PlainReplica first, PlainReplica second, int chosen) {
        assertEquals(choose(nowMillis, List.of(first, second)), chosen, name);
    }

    /** Guards against any change for services whose replicas state three figures or nothing. */
    @Test
    public void replicasWithoutPaceAreOrderedAsBefore() {
        StatedLoad threeFigures = replica(0, 5, NOT_STATED).statedLoad();
        List<PlainReplica> replicas = IntStream.range(0, 64)
                .mapToObj(i ->
                        new PlainReplica(i % 4, i % 3 == 0 ? threeFigures : new StatedLoad(), i % 5 == 0, i * 7 % 6))
                .toList();
        Comparator<PlainReplica> before = Comparator.comparingInt(PlainReplica::knownRequests)
                .thenComparing(r -> !r.sameDataCentre())
                .thenComparingInt(PlainReplica::openConnections);
        assertEquals(
                replicas.stream().sorted(PlainReplica.byExpectedWork(0)).toList(),
                replicas.stream().sorted(before).toList());
    }

    /** Requests to three replicas, one of which is 2.5 times slower; every 600 ms it is another one. */
    private static final class Simulation {
        private static final long WORK_MILLIS = 43;

        private final ManualClock clock = new ManualClock(0);
        private final ManualTimers timers = new ManualTimers(clock);
        private final List<StatedLoad> loads = List.of(new StatedLoad(), new StatedLoad(), new StatedLoad());
        private final boolean statesPace;
        private final int[] running = new int[3];
        private final int[] served = new int[3];
        private long delayMillis;

        Simulation(boolean statesPace) {
            this.statesPace = statesPace;
            IntStream.range(0, 3_000).forEach(i -> timers.schedule(i * 8L, this::send));
            timers.advance(30_000);
        }

        private int pacePercent(int replica) {
            return clock.monotonicMillis() / 600 % 3 == replica ? 250 : 100;
        }

        private void send() {
            long sentMillis = clock.monotonicMillis();
            int to = choose(
                    sentMillis,
                    IntStream.range(0, 3)
                            .mapToObj(i -> new PlainReplica(running[i], loads.get(i), true, i))
                            .toList());
            running[to]++;
            timers.schedule(WORK_MILLIS * pacePercent(to) / 100, () -> finish(to, sentMillis));
        }

        private void finish(int replica, long sentMillis) {
            long now = clock.monotonicMillis();
            running[replica]--;
            served[replica]++;
            delayMillis += now - sentMillis - WORK_MILLIS;
            OptionalInt pace = statesPace ? OptionalInt.of(pacePercent(replica)) : NOT_STATED;
            LoadStatement statement = new LoadStatement(running[replica], 0, 6, pace);
            timers.schedule(50, () -> loads.get(replica).observe(statement, sentMillis, now));
        }
    }

    /** Guards against statements that come too late to help, and against a replica that gets nothing any more. */
    @Test
    public void statementsThatAre50MillisOldReduceDelays() {
        Simulation without = new Simulation(false);
        Simulation with = new Simulation(true);
        assertTrue(
                with.delayMillis < without.delayMillis * 2 / 3,
                with.delayMillis + " ms with, " + without.delayMillis + " ms without statements");
        assertTrue(Arrays.stream(with.served).allMatch(n -> n > 600), Arrays.toString(with.served));
    }
}
