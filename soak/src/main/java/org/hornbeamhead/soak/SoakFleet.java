package org.hornbeamhead.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.hornbeamhead.platform.StandinDocuments;
import org.hornbeamhead.platform.StandinLink;
import org.hornbeamhead.platform.StandinStore;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Acknowledged;
import org.hornbeamhead.soak.history.History.Change;
import org.hornbeamhead.soak.history.History.Disturbed;

/** The systems of a run: the store, replicas, routers, and what operators change. */
final class SoakFleet implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The customer who shares no cached part. */
    static final String ISOLATED = "alone";

    private static final List<String> PLAIN_SERVICES = List.of("plain", "plain2", "plain3");
    private static final String ENGINES = "lm";
    private static final long HEARTBEAT_MILLIS = 700;
    /** A replica that has ended is back after this time. */
    private static final long BACK_MILLIS = 3_000;

    private final History history;
    private final Stopwatch clock;
    private final Path directory;
    private final StandinStore store = new StandinStore();
    private final List<RouterHandle> routers = new ArrayList<>();
    private final List<StandinLink> storeLinks = new ArrayList<>();
    private final List<ReplicaLinks> replicaLinks = new ArrayList<>();
    private final List<SoakReplica> replicas = new CopyOnWriteArrayList<>();
    private final List<SoakReplica> former = new CopyOnWriteArrayList<>();
    private final List<String> keys = new CopyOnWriteArrayList<>(
            IntStream.range(0, 12).mapToObj(i -> "key" + i).toList());
    private final Map<String, OptionalInt> brittle = new ConcurrentHashMap<>();
    private final AtomicInteger nextReplica = new AtomicInteger();
    private final boolean rolled;
    private long version;
    private long weights = 1;
    private int moves;
    private boolean closed;

    SoakFleet(SoakSettings settings, History history, Stopwatch clock, Path directory) throws IOException {
        this.history = history;
        this.clock = clock;
        this.directory = directory;
        this.rolled = settings.resuming() > 0;
        store.put(StandinDocuments.weightsKey(), StandinDocuments.weightsDocument(weights));
        configure();
        for (int i = 0; i < settings.replicas(); i++) {
            add(i % 2 == 0 ? ENGINES : PLAIN_SERVICES.get(i / 2 % PLAIN_SERVICES.size()), settings.seed() + i);
        }
        for (int i = 0; i < settings.routers(); i++) {
            int storePort = settings.lostPaths() > 0 ? openView() : store.port();
            StandinLink link = new StandinLink(() -> storePort);
            storeLinks.add(link);
            routers.add(new RouterHandle("router" + i, link.port(), directory));
        }
        for (RouterHandle r : routers) {
            r.start();
        }
    }

    /** Opens an address of the store at which a router finds replicas behind links of its own. */
    private int openView() throws IOException {
        ReplicaLinks links = new ReplicaLinks();
        replicaLinks.add(links);
        String address = store.openView(links::rewrite);
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    private synchronized void configure() {
        List<StandinDocuments.Customer> customers = List.of(
                new StandinDocuments.Customer(
                        "many", keys.stream().filter(k -> !isIsolated(k)).toList(), false),
                new StandinDocuments.Customer(
                        ISOLATED, keys.stream().filter(SoakFleet::isIsolated).toList(), true));
        store.put(
                StandinDocuments.CONFIGURATION_KEY,
                StandinDocuments.configuration(++version, PLAIN_SERVICES.get(moves), customers));
    }

    private static boolean isIsolated(String key) {
        return key.endsWith("1") || key.endsWith("3");
    }

    private SoakReplica add(String service, long seed) throws IOException {
        int number = nextReplica.incrementAndGet();
        String id = "replica" + number;
        String software = rolled && number % 4 < 2 ? "v2" : "v1";
        SoakReplica r = new SoakReplica(
                id, service, software, service.equals(ENGINES) ? weights : 0, history, clock, seed, this::ended);
        history.add(new History.Listed(id, software, clock.millis()));
        r.setBrittle(brittle.getOrDefault(service, OptionalInt.empty()));
        replicas.add(r);
        list(r, "ready");
        return r;
    }

    private void list(SoakReplica r, String state) {
        store.put(StandinDocuments.replicaKey(r.id()), r.entry(state));
    }

    /** Replicas renew their entries, as the platform's do. */
    Runnable heartbeats() {
        return () -> {
            while (!Thread.currentThread().isInterrupted()) {
                replicas.forEach(this::renew);
                try {
                    Thread.sleep(HEARTBEAT_MILLIS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
    }

    private synchronized void renew(SoakReplica r) {
        if (replicas.contains(r)) {
            list(r, "ready");
        }
    }

    synchronized void revokeKey() {
        // Some keys are left, so that callers can be served to the end.
        if (keys.size() > 6) {
            String gone = keys.remove(keys.size() - 1);
            configure();
            history.add(new Acknowledged(Change.KEY_GONE, gone, clock.millis()));
        }
    }

    synchronized void moveRoute() {
        if (moves + 1 < PLAIN_SERVICES.size()) {
            moves++;
            configure();
            history.add(new Acknowledged(Change.ROUTE_MOVED, PLAIN_SERVICES.get(moves), clock.millis()));
        }
    }

    synchronized void nameWeights() {
        store.put(StandinDocuments.weightsKey(), StandinDocuments.weightsDocument(++weights));
    }

    /** A replica leaves: it says so, another comes, and after the grace it is gone. */
    void replace(SoakReplica leaving, long graceMillis) throws IOException, InterruptedException {
        synchronized (this) {
            if (!replicas.remove(leaving)) {
                return;
            }
            former.add(leaving);
            list(leaving, "draining");
            history.add(new Acknowledged(Change.LEAVING, leaving.id(), clock.millis()));
        }
        add(leaving.service(), clock.millis());
        Thread.sleep(graceMillis);
        store.remove(StandinDocuments.replicaKey(leaving.id()));
    }

    /** A replica's process ends unannounced, and another one starts in its place some seconds later. */
    private void ended(SoakReplica crashed) {
        synchronized (this) {
            if (!replicas.remove(crashed)) {
                return;
            }
        }
        long from = clock.millis();
        history.add(new Disturbed(Disturbed.REPLICA_ENDED, crashed.id(), false, from, from + BACK_MILLIS));
        CompletableFuture.delayedExecutor(BACK_MILLIS, TimeUnit.MILLISECONDS).execute(() -> comeBack(crashed));
        replicaLinks.forEach(links -> links.replicaEnded(crashed.link().port()));
        close(crashed);
    }

    private synchronized void comeBack(SoakReplica crashed) {
        if (closed) {
            return;
        }
        store.remove(StandinDocuments.replicaKey(crashed.id()));
        try {
            add(crashed.service(), clock.millis());
        } catch (IOException e) {
            logger.atWarning().withCause(e).log("no replica came in the place of %s", crashed.id());
        }
    }

    private static void close(SoakReplica r) {
        try {
            r.close();
        } catch (IOException e) {
            logger.atWarning().withCause(e).log("%s could not be closed", r.id());
        }
    }

    /** Where the routers' logs are. */
    Path directory() {
        return directory;
    }

    StandinStore store() {
        return store;
    }

    List<RouterHandle> routers() {
        return routers;
    }

    StandinLink storeLink(int router) {
        return storeLinks.get(router);
    }

    ReplicaLinks replicaLinks(int router) {
        return replicaLinks.get(router);
    }

    /** Makes the replicas of a service brittle, or sound again; returns how many there are. */
    synchronized int setBrittle(String service, OptionalInt tolerance) {
        brittle.put(service, tolerance);
        List<SoakReplica> ofService =
                replicas.stream().filter(r -> r.service().equals(service)).toList();
        ofService.forEach(r -> r.setBrittle(tolerance));
        return ofService.size();
    }

    List<SoakReplica> replicas() {
        return replicas;
    }

    /** Keys that callers use, one that was taken away last among them. */
    String key(int draw) {
        return "key" + Math.floorMod(draw, 12);
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            closed = true;
        }
        for (RouterHandle r : routers) {
            try {
                r.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (StandinLink l : storeLinks) {
            l.close();
        }
        replicaLinks.forEach(ReplicaLinks::close);
        for (SoakReplica r : replicas) {
            r.close();
        }
        for (SoakReplica r : former) {
            r.close();
        }
        store.close();
    }
}
