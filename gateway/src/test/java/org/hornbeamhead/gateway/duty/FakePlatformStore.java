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
import java.util.Set;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.gateway.state.PlatformStore;
import org.hornbeamhead.gateway.state.StoreTransaction;
import org.hornbeamhead.gateway.state.StoreTransaction.KeyWrite;

/**
 * A store behind one mirror that answers at once. Its leases expire when the test says so, and it may lose a call and
 * execute it later.
 */
final class FakePlatformStore implements PlatformStore {
    private final StoreMirror mirror;
    private final Set<String> leases = new HashSet<>();
    private final Map<String, String> leaseByKey = new HashMap<>();
    private final List<Runnable> delayedWrites = new ArrayList<>();
    private final List<Runnable> lostCalls = new ArrayList<>();
    private Optional<Call> callToLose = Optional.empty();
    boolean delayWrites;
    private long revision = 1;
    private int nextLease = 1;

    /** The calls by which routers change the leader's record. */
    enum Call {
        ACQUIRE,
        RENEW,
        RELEASE,
        MARK_FREE,
        REVOKE
    }

    FakePlatformStore(StoreMirror mirror) {
        this.mirror = mirror;
        mirror.apply(new StoreChanges(List.of(), revision, true));
    }

    /** Loses the next call of a kind: it is not answered, and not executed until {@link #executeLostCall}. */
    void loseNext(Call call) {
        callToLose = Optional.of(call);
    }

    boolean hasLostCall() {
        return !lostCalls.isEmpty();
    }

    void executeLostCall() {
        lostCalls.forEach(Runnable::run);
        lostCalls.clear();
    }

    private boolean isLost(Call call, Runnable execution) {
        boolean lost = callToLose.filter(call::equals).isPresent();
        if (lost) {
            callToLose = Optional.empty();
            lostCalls.add(execution);
        }
        return lost;
    }

    /** Expires the lease that a key was written with, if there is one. */
    void expireLeaseOf(String key) {
        Optional.ofNullable(leaseByKey.get(key)).ifPresent(this::end);
    }

    @Override
    public Promise<StoreChanges> readAll() {
        throw new UnsupportedOperationException();
    }

    @Override
    public Promise<StoreChanges> watch(long after, Duration wait) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Promise<Long> readRevision() {
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
    public Promise<WriteReply> commit(StoreTransaction transaction) {
        if (isLost(kindOf(transaction), () -> execute(transaction))) {
            return Promise.of(new WriteReply.InDoubt("no answer"));
        }
        if (!delayWrites) {
            return Promise.of(execute(transaction));
        }
        SettablePromise<WriteReply> reply = new SettablePromise<>();
        delayedWrites.add(() -> reply.set(execute(transaction)));
        return reply;
    }

    private static Call kindOf(StoreTransaction transaction) {
        if (transaction.writes().stream().anyMatch(w -> w.lease().isPresent())) {
            return Call.ACQUIRE;
        }
        return transaction.expected().stream().allMatch(e -> e.revision() > 0) ? Call.RELEASE : Call.MARK_FREE;
    }

    private WriteReply execute(StoreTransaction transaction) {
        if (transaction.expected().stream().anyMatch(e -> e.revision() != revisionOf(e.key()))) {
            return new WriteReply.Conflict(
                    mirror.get(transaction.expected().get(0).key()));
        }
        if (!transaction.writes().stream().flatMap(w -> w.lease().stream()).allMatch(leases::contains)) {
            return new WriteReply.LeaseExpired();
        }
        transaction.writes().forEach(this::put);
        return new WriteReply.Written(revision);
    }

    private long revisionOf(String key) {
        return mirror.get(key).map(StoreItem::revision).orElse(0L);
    }

    private void put(KeyWrite write) {
        leaseByKey.remove(write.key());
        write.lease().ifPresent(id -> leaseByKey.put(write.key(), id));
        StoreItem item = new StoreItem(write.key(), ++revision, write.value(), false);
        mirror.apply(new StoreChanges(List.of(item), revision, false));
    }

    @Override
    public Promise<String> grant(Duration ttl) {
        String lease = "l" + nextLease++;
        leases.add(lease);
        return Promise.of(lease);
    }

    @Override
    public Promise<Boolean> renew(String lease) {
        if (isLost(Call.RENEW, () -> {})) {
            return Promise.ofException(new IllegalStateException("no answer"));
        }
        return Promise.of(leases.contains(lease));
    }

    @Override
    public Promise<Void> revoke(String lease) {
        if (isLost(Call.REVOKE, () -> end(lease))) {
            return Promise.ofException(new IllegalStateException("no answer"));
        }
        end(lease);
        return Promise.complete();
    }

    private void end(String lease) {
        leases.remove(lease);
        List<String> expiredKeys = leaseByKey.keySet().stream()
                .filter(key -> leaseByKey.get(key).equals(lease))
                .toList();
        expiredKeys.forEach(this::remove);
    }

    private void remove(String key) {
        leaseByKey.remove(key);
        mirror.apply(new StoreChanges(List.of(new StoreItem(key, ++revision, "", true)), revision, false));
    }
}
