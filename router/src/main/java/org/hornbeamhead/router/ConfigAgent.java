package org.hornbeamhead.router;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hornbeamhead.core.config.ConfigHolder;
import org.hornbeamhead.core.config.ConfigLog;
import org.hornbeamhead.core.membership.Member;
import org.hornbeamhead.core.membership.MemberStatus;
import org.hornbeamhead.core.placement.ReplicaRing;
import org.hornbeamhead.core.retry.Backoff;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreReply;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.peer.PeerClient;

/**
 * Keeps the configuration new. A few routers watch the platform's service; the rest hear of versions by gossip and
 * fetch them from a peer. A router that starts asks peers and the platform at once and takes whichever answers.
 */
final class ConfigAgent {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int WATCHERS = 3;
    private static final long WATCH_KEY = 0x636f6e666967L;
    /** Spread, so that a herd of routers that start together does not ask together. */
    private static final Backoff RETRY = new Backoff(200, 1_000);

    private static final Backoff WATCH_RETRY = new Backoff(250, 1_000);
    private static final Duration SLOW_CHECK = Duration.ofSeconds(60);
    private static final Duration PAUSE = Duration.ofMillis(500);

    private final ConfigHolder holder;
    private final ConfigLog log;
    private final KeyValueStore store;
    private final PeerClient peers;
    private final Timers timers;
    private final String self;
    private final Supplier<List<Member>> members;
    private final SplittableRandom random = new SplittableRandom();
    private int tries;
    private int failures;
    private boolean readFailed;
    private long watchedVersion;
    private boolean fetching;
    private boolean reading;

    ConfigAgent(
            ConfigHolder holder,
            KeyValueStore store,
            PeerClient peers,
            Timers timers,
            String self,
            Supplier<List<Member>> members) {
        this.holder = holder;
        this.log = new ConfigLog(store);
        this.store = store;
        this.peers = peers;
        this.timers = timers;
        this.self = self;
        this.members = members;
    }

    /** Starts to look for a first configuration, and to watch. */
    void start() {
        readUntilFirst();
        watch();
        slowCheck();
    }

    private void readUntilFirst() {
        if (holder.state().version() == 0) {
            readPlatform();
            List<String> others = peers(
                    m -> m.status() != MemberStatus.DEAD && !m.peerAddress().equals(self));
            if (!others.isEmpty()) {
                fetch(others.get(random.nextInt(others.size())));
            }
            timers.schedule(RETRY.delayMillis(tries++, random), this::readUntilFirst);
        }
    }

    private List<String> peers(Predicate<Member> which) {
        return members.get().stream().filter(which).map(Member::peerAddress).toList();
    }

    /** A long stop-gap for the case that no watcher is alive and no peer has told: rare enough for any fleet. */
    private void slowCheck() {
        timers.schedule(SLOW_CHECK.toMillis(), () -> {
            readPlatform();
            slowCheck();
        });
    }

    /**
     * Failure: the hint's write is lost, or its writer stops before it. Symptom: an accepted version is in force on no
     * router until the slow check. So the log itself is read whenever the watch ends, also when the hint has not moved
     * or the watch got no answer.
     */
    private void watch() {
        boolean mine = ReplicaRing.of(peers(m -> m.status() == MemberStatus.ALIVE))
                .walk(WATCH_KEY, WATCHERS)
                .contains(self);
        if (!mine) {
            timers.schedule(PAUSE.toMillis(), this::watch);
            return;
        }
        store.watch(ConfigLog.HEAD, watchedVersion).thenAccept(reply -> {
            if (reply instanceof StoreReply.Found found) {
                watchedVersion = Math.max(watchedVersion, found.entry().version());
            }
            readPlatform();
            boolean failed = readFailed || !(reply instanceof StoreReply.Found);
            failures = failed ? failures + 1 : 0;
            timers.schedule(failed ? WATCH_RETRY.delayMillis(failures, random) : 0, this::watch);
        });
    }

    /**
     * Failure: a watch tells of a new version, and the read that follows fails. Symptom: the version is not in force
     * here, nor spreads from here, until the next change. What was watched is forgotten, so that the next watch tells
     * of it again.
     */
    private void readPlatform() {
        if (reading) {
            return;
        }
        reading = true;
        log.latest(holder.state()).thenAccept(read -> {
            reading = false;
            readFailed = read.isLeft();
            if (readFailed) {
                watchedVersion = 0;
            }
            read.peek(state -> accepted(holder.offer(state), "platform"));
        });
    }

    /** Fetches a newer version from a peer that has it. */
    void fetch(String peerAddress) {
        if (fetching) {
            return;
        }
        fetching = true;
        peers.configSince(peerAddress, holder.state().version()).whenComplete((records, e) -> {
            fetching = false;
            if (e == null) {
                accepted(holder.offer(records), peerAddress);
            }
        });
    }

    private void accepted(boolean newer, String from) {
        if (newer) {
            logger.atInfo().log(
                    "configuration version %d in force, from %s", holder.state().version(), from);
        }
    }
}
