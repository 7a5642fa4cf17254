package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.daemon.Logs;

/** Keeps this router listed under a lease while it serves. */
public final class RouterRegistration {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * A router that was killed leaves the list this long after; callers avoid an address that failed them by
     * themselves.
     */
    private static final Duration TTL = Duration.ofMillis(2_500);
    /** Three renewals fit into the lease, so that one lost call does not end it. */
    private static final long RENEWAL_INTERVAL_MILLIS = 800;

    private final NioReactor reactor;
    private final PlatformStore store;
    private final RouterEntry entry;
    private Optional<String> lease = Optional.empty();
    private boolean registered;
    private boolean deregistering;

    /**
     * Makes a presence that is not listed.
     *
     * @param reactor the thread's reactor
     * @param store the store
     * @param entry how the router is listed
     */
    public RouterRegistration(NioReactor reactor, PlatformStore store, RouterEntry entry) {
        this.reactor = reactor;
        this.store = store;
        this.entry = entry;
    }

    /** Lists the router, and keeps it listed. */
    public void start() {
        registerOrRenew().subscribe((v, e) -> {
            if (e != null) {
                logger.atFine().withCause(e).log("the router could not be listed or renewed");
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

    private Promise<Void> renew(String held) {
        return store.renew(held).then(alive -> {
            if (alive) {
                return Promise.complete();
            }
            logger.atInfo().with(Logs.DECISION, "lease lost").log("the router's lease ended; it is listed anew");
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
     * Takes the router off the list.
     *
     * @return completes when the store has answered
     */
    public Promise<Void> deregister() {
        deregistering = true;
        return lease.map(store::revoke).orElseGet(Promise::complete);
    }
}
