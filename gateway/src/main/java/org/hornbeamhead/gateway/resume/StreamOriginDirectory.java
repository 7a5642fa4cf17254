package org.hornbeamhead.gateway.resume;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hornbeamhead.core.resume.SoftwareHistory;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.resume.StreamKey;
import org.hornbeamhead.core.resume.StreamOrigin;
import org.hornbeamhead.core.resume.StreamOrigins;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;

/**
 * Tells which software began a stream. Routers remember it for one another while a service has several versions, or
 * their lists are out of date; otherwise the only version of the service tells.
 */
public final class StreamOriginDirectory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Clock clock;
    private final SoftwareHistory history;
    private final OriginExchange exchange;
    private final BooleanSupplier listCurrent;
    private final ListConfirmation listConfirmation;
    private final LongSupplier listConfirmedAt;
    private final Metrics metrics;
    private final Map<StreamKey, RunningStream> unannounced = new LinkedHashMap<>();
    /** Announced while the list was out of date, the earliest first. */
    private final Deque<Announced> announcedOutOfDate = new ArrayDeque<>();

    private record RunningStream(String service, StreamOrigin origin) {}

    private record Announced(StreamOrigin origin, long atMillis) {}

    /**
     * A stream that callers may resume.
     *
     * @param service its service
     * @param key its key, empty if it is not known
     * @param windowMillis for how long a stream of that service may be resumed, in milliseconds
     */
    public record Stream(String service, Optional<StreamKey> key, long windowMillis) {}

    /**
     * Creates a directory.
     *
     * @param clock the clock
     * @param history the software versions of replicas
     * @param exchange the memory of this router and others
     * @param listCurrent whether the list of replicas is current
     * @param listConfirmation confirms the list of replicas
     * @param listConfirmedAt when it was last confirmed, for the log
     * @param metrics the metrics of the process
     */
    public StreamOriginDirectory(
            Clock clock,
            SoftwareHistory history,
            OriginExchange exchange,
            BooleanSupplier listCurrent,
            ListConfirmation listConfirmation,
            LongSupplier listConfirmedAt,
            Metrics metrics) {
        this.clock = clock;
        this.history = history;
        this.exchange = exchange;
        this.listCurrent = listCurrent;
        this.listConfirmation = listConfirmation;
        this.listConfirmedAt = listConfirmedAt;
        this.metrics = metrics;
    }

    /**
     * Follows the list of replicas.
     *
     * @param registry the replicas
     */
    public void follow(ReplicaRegistry registry) {
        registry.onAdded(this::replicaListed);
        registry.onRemoved(r -> history.replicaRemoved(r.entry().service(), r.software(), clock.monotonicMillis()));
        metrics.gauge("hornbeam_stream_origins", exchange::size);
    }

    /** Announces the running streams of a service once it has a second version. */
    private void replicaListed(LiveReplica replica) {
        String service = replica.entry().service();
        history.replicaListed(service, replica.software());
        if (soleVersion(service, 0).isEmpty()) {
            announce(s -> s.service().equals(service));
        }
    }

    /**
     * Announces the running streams once the list is out of date. A second version may be listed meanwhile, and callers
     * that resume a stream elsewhere could not be told which version began it. A router that does not reach the store
     * may not reach other routers either, so these announcements are repeated once the list is current again.
     */
    public void checkList() {
        if (!listCurrent.getAsBoolean()) {
            announce(s -> true);
        } else if (!announcedOutOfDate.isEmpty()) {
            dropForgotten();
            exchange.announce(announcedOutOfDate.stream().map(Announced::origin).toList());
            announcedOutOfDate.clear();
        }
    }

    private void announce(Predicate<RunningStream> condition) {
        List<StreamOrigin> running = unannounced.values().stream()
                .filter(condition)
                .map(RunningStream::origin)
                .toList();
        running.forEach(o -> unannounced.remove(o.key()));
        announce(running);
    }

    private void announce(List<StreamOrigin> origins) {
        if (!listCurrent.getAsBoolean()) {
            long now = clock.monotonicMillis();
            origins.forEach(o -> announcedOutOfDate.addLast(new Announced(o, now)));
            dropForgotten();
        }
        exchange.announce(origins);
    }

    /** Drops the announcements that other routers would have forgotten by now. */
    private void dropForgotten() {
        long now = clock.monotonicMillis();
        while (!announcedOutOfDate.isEmpty()
                && (announcedOutOfDate.size() > StreamOrigins.MAX_STREAMS
                        || now - announcedOutOfDate.getFirst().atMillis() >= StreamOrigins.LIFETIME_MILLIS)) {
            announcedOutOfDate.removeFirst();
        }
    }

    private Optional<SoftwareVersion> soleVersion(String service, long windowMillis) {
        return listCurrent.getAsBoolean()
                ? history.soleVersion(service, windowMillis, clock.monotonicMillis())
                : Optional.empty();
    }

    /**
     * Records that a stream began, before its caller gets the first event.
     *
     * @param stream the stream
     * @param software the version that wrote the event
     */
    public void streamBegan(Stream stream, SoftwareVersion software) {
        stream.key().map(key -> new StreamOrigin(key, software)).ifPresent(origin -> {
            if (soleVersion(stream.service(), stream.windowMillis()).isPresent()) {
                exchange.remember(origin);
                unannounced.put(origin.key(), new RunningStream(stream.service(), origin));
            } else {
                announce(List.of(origin));
            }
        });
    }

    /**
     * Records that a stream has ended.
     *
     * @param stream the stream
     */
    public void streamEnded(Stream stream) {
        stream.key().ifPresent(unannounced::remove);
    }

    /**
     * Finds the software that began a stream.
     *
     * @param stream the stream
     * @param listener receives the version, empty if it is not known; called once, possibly before this method returns
     */
    public void find(Stream stream, Consumer<Optional<SoftwareVersion>> listener) {
        Supplier<Optional<SoftwareVersion>> listed =
                () -> history.soleVersion(stream.service(), stream.windowMillis(), clock.monotonicMillis());
        OriginLookup lookup = new OriginLookup(listed, finding -> {
            record(stream, finding);
            listener.accept(finding.software());
        });
        stream.key()
                .ifPresentOrElse(
                        key -> exchange.find(key, lookup::searched),
                        () -> lookup.searched(new OriginExchange.Result(Optional.empty(), 0, 0)));
        if (listed.get().isEmpty()) {
            lookup.confirmed(false);
        } else if (!lookup.hasEnded()) {
            listConfirmation.confirm(confirmed -> listConfirmed(lookup, confirmed));
        }
    }

    /** Ends a lookup. A list that could not be confirmed may be out of date. */
    private void listConfirmed(OriginLookup lookup, boolean confirmed) {
        if (!confirmed) {
            announce(s -> true);
        }
        lookup.confirmed(confirmed);
    }

    private void record(Stream stream, OriginLookup.Finding finding) {
        metrics.count(
                "hornbeam_stream_origins_looked_up", "source", finding.source().name());
        OriginExchange.Result search = finding.search();
        logger.atInfo()
                .with(Logs.DECISION, "stream origin " + finding.source())
                .with(
                        Logs.INPUTS,
                        "service=" + stream.service()
                                + " software="
                                + finding.software()
                                        .map(SoftwareVersion::toString)
                                        .orElse("unknown") + " asked=" + search.asked()
                                + " answered=" + search.answered() + " listMillisOld="
                                + (clock.monotonicMillis() - listConfirmedAt.getAsLong()))
                .log("looked up which software began a stream");
    }
}
