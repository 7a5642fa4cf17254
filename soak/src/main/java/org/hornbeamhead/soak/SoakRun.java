package org.hornbeamhead.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;
import org.hornbeamhead.platform.StandinPorts;
import org.hornbeamhead.soak.fault.FaultPlan;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.promise.Promises;

/** One run: routers, callers, the faults of a seed, and the check of what was seen. */
final class SoakRun {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long START_LIMIT_MILLIS = 30_000;
    /** After the last fault: the time in which all must serve again, and the time in which that is judged. */
    private static final long END_MILLIS = 16_000;

    private static final long POLL_MILLIS = 50;

    private final SoakSettings settings;
    private final Path directory;

    SoakRun(SoakSettings settings, Path directory) {
        this.settings = settings;
        this.directory = directory;
    }

    SoakReport play() throws IOException, InterruptedException, TimeoutException {
        FaultPlan plan = drawPlan();
        History history = new History();
        Stopwatch clock = new Stopwatch();
        ExecutorService threads = Executors.newCachedThreadPool();
        try (SoakFleet fleet = new SoakFleet(settings, history, clock, directory)) {
            Thread cutOff = new Thread(() -> close(fleet));
            Runtime.getRuntime().addShutdownHook(cutOff);
            threads.execute(fleet.heartbeats());
            awaitServing(fleet, clock);
            Callers callers = new Callers(fleet, history, clock);
            IntStream.range(0, settings.callers())
                    .forEach(i -> threads.execute(() -> callers.run(settings.seed() * 1_000 + i)));
            ResumingCallers resuming = new ResumingCallers(fleet, history, clock);
            IntStream.range(0, settings.resuming())
                    .forEach(i -> threads.execute(() -> resuming.run(settings.seed() * 1_000 + i)));
            CrashingCallers crashing = new CrashingCallers(fleet, history, clock);
            IntStream.range(0, settings.crashing())
                    .forEach(i -> threads.execute(() -> crashing.run(i, settings.seed() + i)));
            if (settings.limiting() > 0) {
                LimitingReplicas limiting = new LimitingReplicas(fleet, history, clock);
                threads.execute(() -> limiting.run(settings.limiting(), settings.seed()));
            }
            BrittleReplicas brittle = new BrittleReplicas(fleet, history, clock);
            if (settings.brittle()) {
                threads.execute(() -> brittle.run(settings.seed()));
            }
            EndlessReplicas endless = new EndlessReplicas(fleet, history, clock);
            IntStream.range(0, settings.endless())
                    .forEach(i -> threads.execute(() -> endless.run(settings.seed() * 1_000 + i)));
            AnnouncingReplicas announcing = new AnnouncingReplicas(fleet);
            IntStream.range(0, settings.announcing())
                    .forEach(i -> threads.execute(() -> announcing.run(settings.seed() + i)));
            strikeAll(plan, new FaultDriver(fleet, history, clock), clock, threads);
            crashing.end();
            announcing.end();
            brittle.end();
            endless.end();
            Thread.sleep(END_MILLIS);
            callers.end();
            resuming.end();
            threads.shutdownNow();
            threads.awaitTermination(END_MILLIS, TimeUnit.MILLISECONDS);
            Runtime.getRuntime().removeShutdownHook(cutOff);
            for (RouterHandle router : fleet.routers()) {
                router.uncaughtErrors().forEach(line -> history.add(new History.Uncaught(router.name(), line)));
            }
        } finally {
            threads.shutdownNow();
            StandinPorts.releaseAll();
        }
        return SoakReport.of(settings, plan, history, new Promises(Set.of(SoakFleet.ISOLATED)).check(history));
    }

    private FaultPlan drawPlan() {
        return FaultPlan.draw(
                settings.seed(),
                settings.seconds() * 1_000L,
                settings.routers(),
                settings.replicas(),
                settings.lostPaths(),
                settings.pausing(),
                settings.handovers(),
                settings.releases());
    }

    private static void close(SoakFleet fleet) {
        try {
            fleet.close();
        } catch (IOException e) {
            logger.atWarning().withCause(e).log("the run was cut off and could not be closed");
        }
    }

    /** Waits until all routers answer callers, and each of those that callers are told of is a router of the fleet. */
    private static void awaitServing(SoakFleet fleet, Stopwatch clock) throws InterruptedException, TimeoutException {
        while (!fleet.routers().stream().allMatch(Callers::namesRouters)) {
            if (clock.millis() > START_LIMIT_MILLIS) {
                throw new TimeoutException("the routers did not start; their logs are in " + fleet.directory());
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Carries out all faults at their times, and returns when all of them are over. */
    private static void strikeAll(FaultPlan plan, FaultDriver driver, Stopwatch clock, ExecutorService threads)
            throws InterruptedException {
        long start = clock.millis();
        List<java.util.concurrent.Future<?>> strikes = new ArrayList<>();
        for (FaultPlan.Fault f : plan.faults()) {
            long wait = start + f.at() - clock.millis();
            Thread.sleep(Math.max(0, wait));
            strikes.add(threads.submit(() -> driver.strike(f)));
        }
        for (java.util.concurrent.Future<?> s : strikes) {
            try {
                s.get();
            } catch (java.util.concurrent.ExecutionException e) {
                throw new IllegalStateException("a fault could not be carried out", e.getCause());
            }
        }
    }
}
