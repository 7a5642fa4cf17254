package org.hornbeamhead.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
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
    /** How long engines of two versions serve side by side in a release. */
    private static final long BOTH_VERSIONS_MILLIS = 300;
    /** How long the service of the engines has run one version at the beginning, as the store's record says. */
    private static final long ONE_VERSION_MILLIS = 100_000;
    /** A replica that has ended is back after this time. */
    private static final long BACK_MILLIS = 3_000;

    private final History history;
    private final Stopwatch clock;
    private final Path directory;
    private final StandinStore store = new StandinStore();
    private final List<RouterHandle> routers = new ArrayList<>();
    private final List<StandinLink> storeLinks = new ArrayList<>();
    private final List<ReplicaLinks> replicaLinks = new ArrayList<>();
    private final PeerLinks peerLinks = new PeerLinks();
    private final Set<RouterHandle> outOfStep = ConcurrentHashMap.newKeySet();
    private final List<SoakReplica> replicas = new CopyOnWriteArrayList<>();
    private final List<SoakReplica> former = new CopyOnWriteArrayList<>();
    private final List<String> keys = new CopyOnWriteArrayList<>(
            IntStream.range(0, 12).mapToObj(i -> "key" + i).toList());
    private final Map<String, OptionalInt> brittle = new ConcurrentHashMap<>();
    private final AtomicInteger nextReplica = new AtomicInteger();
    private final boolean rolled;
    private final boolean released;
    private long version;
    private long weights = 1;
    private int moves;
    private int release = 1;
    private boolean closed;

    SoakFleet(SoakSettings settings, History history, Stopwatch clock, Path directory) throws IOException {
        this.history = history;
        this.clock = clock;
        this.directory = directory;
        this.released = settings.releases() > 0;
        this.rolled = settings.resuming() > 0 && !released;
        if (released) {
            long since = System.currentTimeMillis() - ONE_VERSION_MILLIS;
            store.put("hornbeam/software", "{\"sinceMillis\":" + since + ",\"services\":{}}");
        }
        store.put(StandinDocuments.weightsKey(), StandinDocuments.weightsDocument(weights));
        configure();
        for (int i = 0; i < settings.replicas(); i++) {
            add(i % 2 == 0 ? ENGINES : PLAIN_SERVICES.get(i / 2 % PLAIN_SERVICES.size()), settings.seed() + i);
        }
        for (int i = 0; i < settings.routers(); i++) {
            int storePort = settings.lostPaths() > 0 || released
                    ? openView("router" + i, settings.lostPaths() > 0)
                    : store.port();
            StandinLink link = new StandinLink(() -> storePort);
            storeLinks.add(link);
            routers.add(new RouterHandle("router" + i, link.port(), directory));
        }
        if (released) {
            peerLinks.open(routers);
        }
        for (RouterHandle r : routers) {
            r.start();
        }
    }

    /** Opens an address of the store at which a router finds other routers and replicas behind links of its own. */
    private int openView(String router, boolean withReplicaLinks) throws IOException {
        UnaryOperator<String> replicasBehindLinks = UnaryOperator.identity();
        if (withReplicaLinks) {
            ReplicaLinks links = new ReplicaLinks();
            replicaLinks.add(links);
            replicasBehindLinks = links::rewrite;
        }
        UnaryOperator<String> rewriting = replicasBehindLinks;
        String address = store.openView(v -> peerLinks.rewrite(router, rewriting.apply(v)));
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
        String software = "v" + (rolled && number % 4 < 2 ? 2 : release);
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
        if (!beginLeave(leaving)) {
            return;
        }
        add(leaving.service(), clock.millis());
        Thread.sleep(graceMillis);
        store.remove(StandinDocuments.replicaKey(leaving.id()));
    }

    /** Engines of the next software version join; those of the version before leave and are gone after the grace. */
    void release(long graceMillis) throws IOException, InterruptedException {
        List<SoakReplica> before;
        synchronized (this) {
            release++;
            before = replicas.stream().filter(r -> r.service().equals(ENGINES)).toList();
            for (SoakReplica r : before) {
                add(r.service(), clock.millis() + nextReplica.get());
            }
        }
        Thread.sleep(BOTH_VERSIONS_MILLIS);
        List<SoakReplica> leaving = before.stream().filter(this::beginLeave).toList();
        Thread.sleep(graceMillis);
        leaving.forEach(r -> store.remove(StandinDocuments.replicaKey(r.id())));
    }

    /** A replica says that it leaves; false if it is no longer there. */
    private synchronized boolean beginLeave(SoakReplica leaving) {
        if (!replicas.remove(leaving)) {
            return false;
        }
        former.add(leaving);
        list(leaving, "draining");
        history.add(new Acknowledged(Change.LEAVING, leaving.id(), clock.millis()));
        return true;
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

    PeerLinks peerLinks() {
        return peerLinks;
    }

    /** The routers that may have missed a release, since they stand still or are cut off. */
    Set<RouterHandle> outOfStep() {
        return outOfStep;
    }

    boolean hasReleases() {
        return released;
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
        peerLinks.close();
        for (SoakReplica r : replicas) {
            r.close();
        }
        for (SoakReplica r : former) {
            r.close();
        }
        store.close();
    }
}
