package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.daemon.Logs;

/** Keeps this router registered in the store under a lease while it serves. */
public final class RouterRegistration {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** A killed router stays listed for this long; callers avoid addresses that failed on their own. */
    private static final Duration TTL = Duration.ofMillis(2_500);
    /** Interval between renewals. Three renewals fit into the lease, so that one lost call does not end it. */
    private static final long RENEWAL_INTERVAL_MILLIS = 800;

    private final NioReactor reactor;
    private final PlatformStore store;
    private final RouterEntry entry;
    private Optional<String> lease = Optional.empty();
    private boolean registered;
    private boolean deregistering;

    /**
     * Creates a registration that is not started yet.
     *
     * @param reactor the reactor of this thread
     * @param store the store
     * @param entry the entry of the router
     */
    public RouterRegistration(NioReactor reactor, PlatformStore store, RouterEntry entry) {
        this.reactor = reactor;
        this.store = store;
        this.entry = entry;
    }

    /** Registers the router and keeps it registered. */
    public void start() {
        registerOrRenew().subscribe((v, e) -> {
            if (e != null) {
                logger.atFine().withCause(e).log("registering the router or renewing its lease failed");
            }
            if (!deregistering) {
                reactor.delayBackground(RENEWAL_INTERVAL_MILLIS, this::start);
            }
        });
    }

    private Promise<Void> registerOrRenew() {
        if (deregistering) {
            return Promise.complete();
        }
        return lease.isPresent() && registered ? renew(lease.get()) : register();
    }

    private Promise<Void> renew(String currentLease) {
        return store.renew(currentLease).then(alive -> {
            if (alive) {
                return Promise.complete();
            }
            logger.atInfo().with(Logs.DECISION, "lease lost").log("the router's lease expired; registering again");
            lease = Optional.empty();
            registered = false;
            return register();
        });
    }

    private Promise<Void> register() {
        Promise<String> granted = lease.map(Promise::of).orElseGet(() -> store.grant(TTL));
        return granted.then(l -> {
                    lease = Optional.of(l);
                    return store.write(entry.key(), OptionalLong.empty(), entry.toJson(), lease);
                })
                .then(reply -> {
                    registered = reply instanceof PlatformStore.WriteReply.Written;
                    if (reply instanceof PlatformStore.WriteReply.LeaseExpired) {
                        lease = Optional.empty();
                    }
                    if (deregistering && registered) {
                        return deregister();
                    }
                    return Promise.complete();
                });
    }

    /**
     * Removes the router from the store.
     *
     * @return completes when the store has answered
     */
    public Promise<Void> deregister() {
        deregistering = true;
        return lease.map(store::revoke).orElseGet(Promise::complete);
    }
}
