package org.hornbeamhead.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hornbeamhead.platform.StandinLink;
import org.hornbeamhead.platform.StandinLink.Mode;
import org.hornbeamhead.platform.StandinStore.FaultMode;
import org.hornbeamhead.soak.fault.FaultKind;
import org.hornbeamhead.soak.fault.FaultPlan.Fault;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Disturbed;
import org.hornbeamhead.soak.history.History.Ordered;

/** Carries faults out, each on a thread of its own, and notes them. */
final class FaultDriver {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** A router that was told to stop ends within its grace of 8 s. */
    private static final long GRACE_MILLIS = 8_500;

    private final SoakFleet fleet;
    private final History history;
    private final Stopwatch clock;

    FaultDriver(SoakFleet fleet, History history, Stopwatch clock) {
        this.fleet = fleet;
        this.history = history;
        this.clock = clock;
    }

    /** Carries a fault out and returns when it is over. */
    void strike(Fault f) {
        logger.atInfo().log("%d ms: %s %d for %d ms", clock.millis(), f.kind(), f.index(), f.lasting());
        try {
            switch (f.kind().target()) {
                case ROUTER -> router(f, routerOf(f));
                case LEADER -> router(f, leader().orElseGet(() -> routerOf(f)));
                case ALL_ROUTERS -> noted(f, History.ALL_ROUTERS, () -> killAll(f));
                case STORE, STORE_WRITES -> noted(f, History.STORE, () -> store(f));
                case STORE_LINK, PEER_LINKS -> noted(f, routerOf(f).name(), () -> outOfStep(f, () -> cutOff(f)));
                case ENGINES -> noted(f, "engines", () -> fleet.release(f.lasting()));
                case PATH -> noted(f, routerOf(f).name(), () -> path(f));
                case REPLICA, FROZEN_REPLICA -> replica(f);
                case OPERATORS -> operators(f);
            }
        } catch (IOException e) {
            logger.atWarning().withCause(e).log("the fault could not be carried out");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    /** Notes a disturbance with an open end first, so that what is seen meanwhile counts as disturbed. */
    private void noted(Fault f, String subject, Step step) throws IOException, InterruptedException {
        long from = clock.millis();
        try {
            step.run();
        } finally {
            Disturbed d = new Disturbed(
                    f.kind().name(), subject, f.kind().planned(), from, clock.millis() + Disturbed.SETTLING_MILLIS);
            history.add(d);
        }
    }

    private RouterHandle routerOf(Fault f) {
        return fleet.routers().get(f.index());
    }

    /** Returns the router that gave the latest order. */
    private Optional<RouterHandle> leader() {
        return history.ordered().stream()
                .max(Comparator.comparingLong(Ordered::at))
                .flatMap(o -> fleet.routers().stream()
                        .filter(r -> r.name().equals(o.holder()))
                        .findFirst());
    }

    private void router(Fault f, RouterHandle r) throws IOException, InterruptedException {
        noted(f, r.name(), () -> {
            switch (f.kind()) {
                case ROUTER_KILLED, LEADER_KILLED -> {
                    r.kill();
                    Thread.sleep(f.lasting());
                }
                case ROUTER_FROZEN -> outOfStep(f, () -> {
                    r.signal("STOP");
                    Thread.sleep(f.lasting());
                    r.signal("CONT");
                });
                case ROUTER_STOPPED -> {
                    r.signal("TERM");
                    r.awaitEnd(GRACE_MILLIS);
                }
                default -> r.signal("HUP");
            }
            r.start();
        });
    }

    private void killAll(Fault f) throws IOException, InterruptedException {
        for (RouterHandle r : fleet.routers()) {
            r.kill();
        }
        Thread.sleep(f.lasting());
        for (RouterHandle r : fleet.routers()) {
            r.start();
        }
    }

    private void store(Fault f) throws InterruptedException {
        fleet.store()
                .setFaultMode(
                        switch (f.kind()) {
                            case STORE_BUSY -> FaultMode.BUSY;
                            case STORE_SILENT -> FaultMode.SILENT;
                            case STORE_WRITES_LATE -> FaultMode.EXECUTING_LATE;
                            default -> FaultMode.DROPPING_REPLIES;
                        });
        Thread.sleep(f.lasting());
        fleet.store().setFaultMode(FaultMode.HEALTHY);
    }

    private static void link(StandinLink link, Fault f) throws InterruptedException {
        link.setMode(
                switch (f.kind()) {
                    case STORE_LINK_RESET, REPLICA_RESET -> Mode.RESETTING;
                    case STORE_LINK_ONE_WAY -> Mode.ONE_WAY;
                    case REPLICA_DELAYED -> Mode.DELAYED;
                    default -> Mode.SILENT;
                });
        Thread.sleep(f.lasting());
        link.setMode(Mode.HEALTHY);
    }

    /** Lets callers that resume streams know the router that may have missed a release. */
    private void outOfStep(Fault f, Step step) throws IOException, InterruptedException {
        RouterHandle router = routerOf(f);
        fleet.outOfStep().add(router);
        try {
            step.run();
        } finally {
            fleet.outOfStep().remove(router);
        }
    }

    private void cutOff(Fault f) throws InterruptedException {
        boolean fromPeers = f.kind() == FaultKind.ROUTER_CUT_OFF;
        if (fromPeers) {
            fleet.peerLinks().setCutOff(routerOf(f).name(), true);
        }
        link(fleet.storeLink(f.index()), f);
        if (fromPeers) {
            fleet.peerLinks().setCutOff(routerOf(f).name(), false);
        }
    }

    private void path(Fault f) throws InterruptedException {
        ReplicaLinks links = fleet.replicaLinks(f.index());
        links.setMode(
                switch (f.kind()) {
                    case PATH_REFUSED -> Mode.REFUSING;
                    case PATH_CLOSED -> Mode.REFUSING_NEW;
                    case PATH_HANGS -> Mode.HANGING;
                    default -> Mode.ONE_WAY;
                });
        Thread.sleep(f.lasting());
        links.setMode(Mode.HEALTHY);
    }

    private void replica(Fault f) throws IOException, InterruptedException {
        List<SoakReplica> all = fleet.replicas();
        SoakReplica r = all.get(f.index() % all.size());
        noted(f, r.id(), () -> {
            switch (f.kind()) {
                case REPLICA_GREY -> {
                    r.grey(true);
                    Thread.sleep(f.lasting());
                    r.grey(false);
                }
                case REPLICA_FROZEN -> {
                    r.freeze(true);
                    Thread.sleep(f.lasting());
                    r.freeze(false);
                }
                case REPLICA_LEAVES -> fleet.replace(r, f.lasting() + Disturbed.SETTLING_MILLIS);
                default -> link(r.link(), f);
            }
        });
    }

    private void operators(Fault f) throws IOException, InterruptedException {
        noted(f, "operators", () -> {
            switch (f.kind()) {
                case KEY_REVOKED -> fleet.revokeKey();
                case ROUTE_MOVED -> fleet.moveRoute();
                default -> fleet.nameWeights();
            }
        });
    }
}
