package org.hornbeamhead.gateway.duty;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.gateway.state.PlatformStore;

/** A store of one mirror that answers at once, and whose leases end when the test says so. */
final class FakePlatformStore implements PlatformStore {
    private final StoreMirror mirror;
    private final Set<String> leases = new HashSet<>();
    private final Map<String, String> leaseOf = new HashMap<>();
    private final List<Runnable> waiting = new ArrayList<>();
    boolean writesWait;
    private long revision = 1;
    private int nextLease = 1;

    FakePlatformStore(StoreMirror mirror) {
        this.mirror = mirror;
    }

    /** The lease with which a key lives ends, if it lives with one. */
    void lapse(String key) {
        Optional.ofNullable(leaseOf.get(key)).ifPresent(this::revoke);
    }

    @Override
    public Promise<StoreChanges> readAll() {
        throw new UnsupportedOperationException();
    }

    @Override
    public Promise<StoreChanges> watch(long after, Duration wait) {
        throw new UnsupportedOperationException();
    }

    boolean writeWaits() {
        return !waiting.isEmpty();
    }

    /** Writes are carried out and answered only from now on. */
    void writeWhatWaits() {
        writesWait = false;
        List.copyOf(waiting).forEach(Runnable::run);
        waiting.clear();
    }

    @Override
    public Promise<WriteReply> write(String key, OptionalLong expected, String value, Optional<String> lease) {
        if (!writesWait) {
            return writeNow(key, expected, value, lease);
        }
        SettablePromise<WriteReply> later = new SettablePromise<>();
        waiting.add(() -> writeNow(key, expected, value, lease).subscribe(later::set));
        return later;
    }

    private Promise<WriteReply> writeNow(String key, OptionalLong expected, String value, Optional<String> lease) {
        long now = mirror.get(key).map(StoreItem::revision).orElse(0L);
        if (expected.isPresent() && expected.getAsLong() != now) {
            return Promise.of(new WriteReply.Conflict(mirror.get(key)));
        }
        StoreItem item = new StoreItem(key, ++revision, value, false);
        leaseOf.remove(key);
        lease.ifPresent(l -> leaseOf.put(key, l));
        mirror.apply(new StoreChanges(List.of(item), revision, false));
        return Promise.of(new WriteReply.Written(revision));
    }

    @Override
    public Promise<String> grant(Duration ttl) {
        String lease = "l" + nextLease++;
        leases.add(lease);
        return Promise.of(lease);
    }

    @Override
    public Promise<Boolean> renew(String lease) {
        return Promise.of(leases.contains(lease));
    }

    @Override
    public Promise<Void> revoke(String lease) {
        leases.remove(lease);
        List<String> gone = leaseOf.keySet().stream()
                .filter(key -> leaseOf.get(key).equals(lease))
                .toList();
        gone.forEach(this::remove);
        return Promise.complete();
    }

    private void remove(String key) {
        leaseOf.remove(key);
        mirror.apply(new StoreChanges(List.of(new StoreItem(key, ++revision, "", true)), revision, false));
    }
}
