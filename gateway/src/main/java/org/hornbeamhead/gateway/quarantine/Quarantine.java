package org.hornbeamhead.gateway.quarantine;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hornbeamhead.core.crash.CrashArchive;
import org.hornbeamhead.core.crash.CrashGossip;
import org.hornbeamhead.core.crash.CrashHistory;
import org.hornbeamhead.core.crash.LostRun;
import org.hornbeamhead.core.crash.RequestFingerprint;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.PeerDatagrams;
import org.hornbeamhead.gateway.state.PlatformStore;

/**
 * Which requests may not run, since replicas ended under them. While no replica has ended lately, no request's content
 * is looked at.
 */
public final class Quarantine {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final CrashHistory history;
    private final CrashGossip gossip;
    private final CrashArchive archive;
    private final CrashWitness witness;
    private final Parts parts;
    private Consumer<RequestFingerprint> onHeld = r -> {};

    /**
     * What a quarantine works with.
     *
     * @param clock the clock
     * @param timers the thread's timers
     * @param random the source of randomness
     * @param store the platform's store
     * @param registry the replicas
     * @param datagrams the socket that routers share
     * @param audience the other routers
     * @param metrics the process's metrics
     */
    public record Parts(
            Clock clock,
            Timers timers,
            Random random,
            PlatformStore store,
            ReplicaRegistry registry,
            PeerDatagrams datagrams,
            CrashGossip.Audience audience,
            Metrics metrics) {}

    /**
     * Makes a quarantine that holds nothing back.
     *
     * @param parts what it works with
     */
    public Quarantine(Parts parts) {
        this.parts = parts;
        history = new CrashHistory(parts.clock());
        gossip = new CrashGossip(
                history, parts.clock(), parts.timers(), parts.random(), parts.audience(), parts.datagrams()::send);
        archive = new CrashArchive(parts.clock(), parts.timers(), parts.random(), this::write, history);
        witness = new CrashWitness(parts.clock(), parts.timers(), this::crashed);
    }

    /** Starts to see replicas go, and to hear of what other routers saw. */
    public void start() {
        history.listen(this::changed);
        parts.registry().onRemoved(witness::gone);
        parts.datagrams().listen((from, bytes) -> gossip.receive(bytes));
        parts.metrics().gauge("hornbeam_requests_held_back", history::held);
    }

    /**
     * Tells of each request that is held back from now on, and again whenever more is known of it.
     *
     * @param listener takes the request
     */
    public void onHeld(Consumer<RequestFingerprint> listener) {
        onHeld = listener;
    }

    private void changed(RequestFingerprint request) {
        gossip.changed(request);
        if (history.heldMillis(request).isPresent()) {
            onHeld.accept(request);
        }
    }

    private void crashed(LostRun run, LiveReplica replica) {
        parts.metrics().count("hornbeam_requests_at_crash");
        history.crashed(run, replica.runHash());
        archive.crashSeen();
    }

    /**
     * Takes over what routers have kept in the store.
     *
     * @param item the key {@link CrashArchive#KEY}
     */
    public void read(StoreItem item) {
        if (!archive.read(item.revision(), item.value())) {
            logger.atWarning()
                    .with(Logs.INPUTS, "revision=" + item.revision())
                    .log("key %s cannot be read and is passed over", item.key());
        }
    }

    private CompletionStage<CrashArchive.Reply> write(long expectedRevision, String value) {
        return parts.store()
                .write(CrashArchive.KEY, OptionalLong.of(expectedRevision), value, Optional.empty())
                .map(Quarantine::reply)
                .toCompletableFuture();
    }

    private static CrashArchive.Reply reply(PlatformStore.WriteReply reply) {
        if (reply instanceof PlatformStore.WriteReply.Written written) {
            return new CrashArchive.Reply.Written(written.revision());
        }
        if (reply instanceof PlatformStore.WriteReply.Conflict conflict) {
            return conflict.current()
                    .map(item -> new CrashArchive.Reply.Conflict(item.revision(), item.value()))
                    .orElseGet(() -> new CrashArchive.Reply.Conflict(0, ""));
        }
        return new CrashArchive.Reply.Failed();
    }

    /**
     * Decides whether a request is held back.
     *
     * @param request names the request
     * @return how long it is held back from now on, in milliseconds; empty when it may run
     */
    public OptionalLong heldMillis(Supplier<RequestFingerprint> request) {
        return history.heldMillis(request);
    }

    /**
     * Notes that a request ran to its end.
     *
     * @param request names the request
     */
    public void completed(Supplier<RequestFingerprint> request) {
        history.completed(request);
    }

    /**
     * Notes that the connection of a request broke.
     *
     * @param run the run of the request
     * @param replica where it was under way
     */
    public void broken(LostRun run, LiveReplica replica) {
        witness.broken(run, replica);
    }

    /**
     * Notes that a request was given up while its replica was silent.
     *
     * @param run the run of the request
     * @param replica where it was under way
     */
    public void silent(LostRun run, LiveReplica replica) {
        witness.silent(run, replica);
    }
}
