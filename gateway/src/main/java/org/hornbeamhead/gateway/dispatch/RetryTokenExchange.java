package org.hornbeamhead.gateway.dispatch;

import java.util.List;
import java.util.Random;
import org.hornbeamhead.core.entry.ActiveRouters;
import org.hornbeamhead.core.retry.RetryTokenMessage;
import org.hornbeamhead.core.retry.RetryTokenMessage.Kind;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.gateway.state.PeerDatagrams;

/**
 * Moves tokens of retry budgets to routers that are short of them. In a large fleet the part of each router is a few
 * retries, while the routers together have many left.
 */
public final class RetryTokenExchange {
    private final Clock clock;
    private final ActiveRouters routers;
    private final RetryBudgets budgets;
    private final PeerDatagrams datagrams;
    private final Random random = new Random();
    private final long life = random.nextLong();

    /**
     * Creates an exchange that is not started yet.
     *
     * @param clock the clock
     * @param routers the routers that share the budgets
     * @param dispatcher the dispatcher whose retries are paid from the budgets
     * @param datagrams the socket for datagrams
     */
    public RetryTokenExchange(Clock clock, ActiveRouters routers, Dispatcher dispatcher, PeerDatagrams datagrams) {
        this(clock, routers, dispatcher.retryBudgets(), datagrams);
    }

    RetryTokenExchange(Clock clock, ActiveRouters routers, RetryBudgets budgets, PeerDatagrams datagrams) {
        this.clock = clock;
        this.routers = routers;
        this.budgets = budgets;
        this.datagrams = datagrams;
    }

    /** Starts to ask and to answer. */
    public void start() {
        datagrams.addListener((from, bytes) -> RetryTokenMessage.decode(bytes).ifPresent(m -> receive(from, m)));
        budgets.onShortage(this::ask);
    }

    private void ask(String service, int question) {
        List<String> peers = routers.activePeers(clock.monotonicMillis());
        if (!peers.isEmpty()) {
            String peer = peers.get(random.nextInt(peers.size()));
            datagrams.send(peer, new RetryTokenMessage(Kind.QUESTION, life, question, 0, service).encode());
        }
    }

    private void receive(String from, RetryTokenMessage message) {
        switch (message.kind()) {
            case QUESTION -> answer(from, message);
            case TOKENS -> {
                if (message.life() == life) {
                    budgets.receive(message.service(), message.question(), message.tokens());
                }
            }
        }
    }

    private void answer(String from, RetryTokenMessage question) {
        double tokens = budgets.give(question.service());
        if (tokens > 0) {
            datagrams.send(
                    from,
                    new RetryTokenMessage(Kind.TOKENS, question.life(), question.question(), tokens, question.service())
                            .encode());
        }
    }
}
