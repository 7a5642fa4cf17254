package org.hornbeamhead.router;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamhead.core.config.ConfigAuthor;
import org.hornbeamhead.core.config.ConfigHolder;
import org.hornbeamhead.core.config.ConfigLog;
import org.hornbeamhead.core.config.ConfigState;
import org.hornbeamhead.core.membership.Member;
import org.hornbeamhead.core.membership.MemberStatus;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreEntry;
import org.hornbeamhead.core.store.StoreReply;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.hornbeamhead.peer.PeerClient;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigAgentTest {
    private static final Member SELF = new Member("127.0.0.1:1", "127.0.0.1:2", 1, MemberStatus.ALIVE);
    /** How long the service lets a watch wait. */
    private static final long WATCH_MILLIS = 10_000;

    private static final String TEXT = "[fleet]\nname = a\n";

    private ManualTimers timers;
    private WatchedStore store;
    private ConfigHolder holder;

    @BeforeMethod
    public void setUp() {
        timers = new ManualTimers(new ManualClock(0));
        store = new WatchedStore();
        holder = new ConfigHolder();
    }

    private ConfigState apply(ConfigState base, String text, String id) {
        new ConfigLog(store).append(base, text, new ConfigAuthor("a", "r", 0, id));
        return new ConfigLog(store).latest(base).toCompletableFuture().join().get();
    }

    // The platform tells a watcher of version 2 and then refuses the read. The watcher must not wait for version 3 to
    // try
    // again: version 2 is in force within seconds.
    @Test
    public void aReadThatFailsAfterAWatchIsTriedAgain() {
        ConfigState one = apply(ConfigState.NONE, TEXT, "c1");
        PeerClient peers = new PeerClient(Runnable::run);
        new ConfigAgent(holder, store, peers, timers, SELF.peerAddress(), () -> List.of(SELF)).start();
        timers.advance(100);
        assertEquals(holder.state().version(), 1);
        apply(one, TEXT + "; more\n", "c2");
        store.failReads = 4;
        store.tell();
        timers.advance(100);
        assertEquals(holder.state().version(), 1);
        timers.advance(5_000);
        assertEquals(holder.state().version(), 2);
        peers.stop();
    }

    @DataProvider
    public Object[][] hints() {
        return new Object[][] {
            {"of the version before", false},
            {"never written", false},
            {"of the version before", true},
            {"never written", true},
        };
    }

    /**
     * An operator's change is accepted and is in force a minute later on all routers. The entry was written and the
     * hint after it was lost, or its writer stopped in between; the watch of the hint runs out every ten seconds and
     * tells of nothing new, and the watcher takes that for "no new version" until its slow check.
     */
    @Test(dataProvider = "hints")
    public void aVersionWhoseHintWasLostIsInForceWhenTheWatchRunsOut(String hint, boolean watchLost) {
        store.loseHints = hint.equals("never written");
        ConfigState one = apply(ConfigState.NONE, TEXT, "c1");
        PeerClient peers = new PeerClient(Runnable::run);
        new ConfigAgent(holder, store, peers, timers, SELF.peerAddress(), () -> List.of(SELF)).start();
        timers.advance(100);
        assertEquals(holder.state().version(), 1);
        store.loseHints = true;
        assertEquals(apply(one, TEXT + "; more\n", "c2").version(), 2);
        timers.advance(WATCH_MILLIS);
        assertEquals(holder.state().version(), 1);
        if (watchLost) {
            store.loseWatch();
        } else {
            store.tell();
        }
        timers.advance(100);
        assertEquals(holder.state().version(), 2);
        peers.stop();
    }

    /** A store whose watch waits until it is told, whose reads can be made to fail and whose hints can be lost. */
    private static final class WatchedStore implements KeyValueStore {
        private final Map<String, StoreEntry> entries = new HashMap<>();
        private CompletableFuture<StoreReply> watcher = new CompletableFuture<>();
        private long versions;
        private int failReads;
        private boolean loseHints;

        void tell() {
            endWatch(found(ConfigLog.HEAD));
        }

        void loseWatch() {
            endWatch(new StoreReply.Failed("no answer"));
        }

        private void endWatch(StoreReply reply) {
            CompletableFuture<StoreReply> waiting = watcher;
            watcher = new CompletableFuture<>();
            waiting.complete(reply);
        }

        private StoreReply found(String key) {
            StoreEntry entry = entries.get(key);
            return entry == null ? new StoreReply.Missing() : new StoreReply.Found(entry);
        }

        @Override
        public CompletionStage<StoreReply> read(String key) {
            return CompletableFuture.completedStage(failReads-- > 0 ? new StoreReply.Failed("refused") : found(key));
        }

        @Override
        public CompletionStage<StoreReply> compareAndSwap(
                String key, long expectedVersion, String value, Optional<String> lease) {
            if (loseHints && key.equals(ConfigLog.HEAD)) {
                return CompletableFuture.completedStage(new StoreReply.InDoubt("lost"));
            }
            entries.put(key, new StoreEntry(key, ++versions, value));
            return CompletableFuture.completedStage(found(key));
        }

        @Override
        public CompletionStage<StoreReply> watch(String key, long afterVersion) {
            StoreEntry entry = entries.get(key);
            boolean newer = entry != null && entry.version() > afterVersion;
            return newer ? CompletableFuture.completedStage(found(key)) : watcher;
        }

        @Override
        public CompletionStage<StoreReply> grant(Duration ttl) {
            throw new UnsupportedOperationException("no leases here");
        }

        @Override
        public CompletionStage<StoreReply> renew(String lease) {
            throw new UnsupportedOperationException("no leases here");
        }

        @Override
        public CompletionStage<StoreReply> revoke(String lease) {
            throw new UnsupportedOperationException("no leases here");
        }
    }
}
