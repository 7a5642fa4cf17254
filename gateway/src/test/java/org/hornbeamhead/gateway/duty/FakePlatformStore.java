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

/** A store behind one mirror that answers at once. Its leases expire when the test says so. */
final class FakePlatformStore implements PlatformStore {
    private final StoreMirror mirror;
    private final Set<String> leases = new HashSet<>();
    private final Map<String, String> leaseByKey = new HashMap<>();
    private final List<Runnable> delayedWrites = new ArrayList<>();
    boolean delayWrites;
    private long revision = 1;
    private int nextLease = 1;

    FakePlatformStore(StoreMirror mirror) {
        this.mirror = mirror;
    }

    /** Expires the lease that a key was written with, if there is one. */
    void expireLeaseOf(String key) {
        Optional.ofNullable(leaseByKey.get(key)).ifPresent(this::revoke);
    }

    @Override
    public Promise<StoreChanges> readAll() {
        throw new UnsupportedOperationException();
    }

    @Override
    public Promise<StoreChanges> watch(long after, Duration wait) {
        throw new UnsupportedOperationException();
    }

    boolean hasDelayedWrites() {
        return !delayedWrites.isEmpty();
    }

    /** Performs and answers the delayed writes, and delays no further ones. */
    void performDelayedWrites() {
        delayWrites = false;
        List.copyOf(delayedWrites).forEach(Runnable::run);
        delayedWrites.clear();
    }

    @Override
    public Promise<WriteReply> write(String key, OptionalLong expected, String value, Optional<String> lease) {
        if (!delayWrites) {
            return writeNow(key, expected, value, lease);
        }
        SettablePromise<WriteReply> reply = new SettablePromise<>();
        delayedWrites.add(() -> writeNow(key, expected, value, lease).subscribe(reply::set));
        return reply;
    }

    private Promise<WriteReply> writeNow(String key, OptionalLong expected, String value, Optional<String> lease) {
        long current = mirror.get(key).map(StoreItem::revision).orElse(0L);
        if (expected.isPresent() && expected.getAsLong() != current) {
            return Promise.of(new WriteReply.Conflict(mirror.get(key)));
        }
        StoreItem item = new StoreItem(key, ++revision, value, false);
        leaseByKey.remove(key);
        lease.ifPresent(id -> leaseByKey.put(key, id));
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
        List<String> expiredKeys = leaseByKey.keySet().stream()
                .filter(key -> leaseByKey.get(key).equals(lease))
                .toList();
        expiredKeys.forEach(this::remove);
        return Promise.complete();
    }

    private void remove(String key) {
        leaseByKey.remove(key);
        mirror.apply(new StoreChanges(List.of(new StoreItem(key, ++revision, "", true)), revision, false));
    }
}
