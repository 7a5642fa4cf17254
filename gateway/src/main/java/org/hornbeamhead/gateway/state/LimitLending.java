package org.hornbeamhead.gateway.state;

import io.activej.reactor.nio.NioReactor;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.hornbeamhead.core.entry.ActiveRouters;
import org.hornbeamhead.core.entry.LoanMessage;
import org.hornbeamhead.core.time.Clock;

/** Borrows parts of the limits that all routers share from routers without callers, and lends them to others. */
public final class LimitLending {
    /** Loans last for several intervals, so that a lost datagram ends none. */
    private static final long INTERVAL_MILLIS = 1_000;

    private final NioReactor reactor;
    private final Clock clock;
    private final ActiveRouters routers;
    private final Supplier<List<String>> listedRouters;
    private final PeerDatagrams datagrams;
    private final long life = new Random().nextLong();

    /**
     * Creates an exchange that is not started yet.
     *
     * @param reactor the reactor of this thread
     * @param clock the clock
     * @param routers the routers that share the limits
     * @param listedRouters supplies the addresses at which other routers receive datagrams
     * @param datagrams the socket for datagrams
     */
    public LimitLending(
            NioReactor reactor,
            Clock clock,
            ActiveRouters routers,
            Supplier<List<String>> listedRouters,
            PeerDatagrams datagrams) {
        this.reactor = reactor;
        this.clock = clock;
        this.routers = routers;
        this.listedRouters = listedRouters;
        this.datagrams = datagrams;
    }

    /** Starts to ask and to answer. */
    public void start() {
        datagrams.addListener((from, bytes) -> LoanMessage.decode(bytes).ifPresent(m -> receive(from, m)));
        tick();
    }

    private void tick() {
        long now = clock.monotonicMillis();
        Set<String> idle = new HashSet<>(listedRouters.get());
        idle.removeAll(routers.activePeers(now));
        if (!idle.isEmpty()) {
            routers.askForLoans(now).ifPresent(question -> {
                byte[] datagram = new LoanMessage(LoanMessage.Kind.QUESTION, life, question, 0).encode();
                idle.stream().limit(UsageGossip.MAX_PEERS).forEach(p -> datagrams.send(p, datagram));
            });
        }
        reactor.delayBackground(INTERVAL_MILLIS, this::tick);
    }

    private void receive(String from, LoanMessage message) {
        long now = clock.monotonicMillis();
        switch (message.kind()) {
            case QUESTION -> routers.lend(from, now)
                    .ifPresent(share -> datagrams.send(
                            from,
                            new LoanMessage(LoanMessage.Kind.LOAN, message.life(), message.question(), share)
                                    .encode()));
            case LOAN -> {
                if (message.life() == life) {
                    routers.recordLoan(from, message.question(), message.share(), now);
                }
            }
        }
    }
}
