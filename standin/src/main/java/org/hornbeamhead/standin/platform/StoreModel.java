package org.hornbeamhead.standin.platform;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamhead.core.store.StoreEntry;
import org.hornbeamhead.core.time.Clock;

/** The stand-in key-value service without its network: keys, versions and leases. Versions are never used twice. */
public final class StoreModel {
    private record Lease(long ttlMillis, long expiresMillis, Set<String> keys) {}

    private final Clock clock;
    private final Map<String, StoreEntry> entries = new HashMap<>();
    private final Map<String, StoreEntry> previous = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private long nextVersion = 1;
    private long nextLease = 1;

    /**
     * Makes an empty store.
     *
     * @param clock the clock
     */
    public StoreModel(Clock clock) {
        this.clock = clock;
    }

    /**
     * Reads a key.
     *
     * @param key the key
     * @return the entry
     */
    public Optional<StoreEntry> read(String key) {
        expire();
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Reads the value before the last write, as a lagging reader would.
     *
     * @param key the key
     * @return the earlier entry, or the present one when there was none
     */
    public Optional<StoreEntry> readStale(String key) {
        return Optional.ofNullable(previous.get(key)).or(() -> read(key));
    }

    /**
     * Writes a key if it has the expected version.
     *
     * @param key the key
     * @param expected the version, 0 for none
     * @param value the value
     * @param lease the lease that the key lives with; empty for none
     * @return the new entry, empty when the version differs or the lease is gone
     */
    public Optional<StoreEntry> compareAndSwap(String key, long expected, String value, String lease) {
        expire();
        StoreEntry current = entries.get(key);
        long version = current == null ? 0 : current.version();
        boolean leaseGone = !lease.isEmpty() && !leases.containsKey(lease);
        if (version != expected || leaseGone) {
            return Optional.empty();
        }
        StoreEntry written = new StoreEntry(key, nextVersion++, value);
        if (current != null) {
            previous.put(key, current);
        }
        entries.put(key, written);
        if (!lease.isEmpty()) {
            leases.get(lease).keys().add(key);
        }
        return Optional.of(written);
    }

    /**
     * Grants a lease.
     *
     * @param ttlMillis how long it lasts, in milliseconds
     * @return its id
     */
    public String grant(long ttlMillis) {
        String id = "lease-" + nextLease++;
        leases.put(id, new Lease(ttlMillis, clock.monotonicMillis() + ttlMillis, new HashSet<>()));
        return id;
    }

    /**
     * Renews a lease.
     *
     * @param id its id
     * @return false when it has lapsed
     */
    public boolean renew(String id) {
        expire();
        Lease lease = leases.get(id);
        if (lease == null) {
            return false;
        }
        leases.put(id, new Lease(lease.ttlMillis(), clock.monotonicMillis() + lease.ttlMillis(), lease.keys()));
        return true;
    }

    /**
     * Ends a lease and removes its keys.
     *
     * @param id its id
     */
    public void revoke(String id) {
        Lease lease = leases.remove(id);
        if (lease != null) {
            lease.keys().forEach(entries::remove);
        }
    }

    private void expire() {
        long now = clock.monotonicMillis();
        Set<String> lapsed = new HashSet<>();
        leases.forEach((id, lease) -> {
            if (lease.expiresMillis() <= now) {
                lapsed.add(id);
            }
        });
        lapsed.forEach(this::revoke);
    }
}
