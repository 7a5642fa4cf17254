package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;

/**
 * Fetches changes from the mirror of any other router, at the start and while no other source answers.
 *
 * <p>The store may refuse this router while it serves others, or this router may have just started and lack the history
 * of publication times. It would then keep using a removed key, or send requests to a replica that has left. It
 * therefore polls the mirrors of randomly chosen routers, and keeps to one that the store answers. Revisions decide
 * which state is newer, whatever its source.
 */
public final class PeerMirrorPoller {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Polling interval of a router that the store does not answer: a quarter of the bound, and 1 KB/s. */
    private static final long POLL_INTERVAL_MILLIS = 200;

    /**
     * Number of answers to collect at the start. If all routers were restarted together, none knows more than the
     * store.
     */
    private static final int MAX_BOOTSTRAP_ANSWERS = 5;

    private final Timers timers;
    private final Clock clock;
    private final RandomGenerator random;
    private final MirrorClient client;
    private final StoreMirror mirror;
    private final MirrorUpdater updater;
    private final WeightsView weights;
    private final BooleanSupplier isBehind;
    private final Supplier<List<String>> peers;
    private Optional<String> currentPeer = Optional.empty();
    private boolean bootstrapped;
    private int bootstrapAnswers;

    /**
     * Creates a poller that is not started yet.
     *
     * @param timers the timers of this thread
     * @param clock the clock
     * @param random the source of randomness
     * @param client fetches changes from other routers
     * @param mirror the mirror to update
     * @param updater applies the answers of other routers
     * @param weights the view of weights, which may have estimated publication times
     * @param isBehind whether this router receives no changes from other sources
     * @param peers supplies the addresses of other routers
     */
    PeerMirrorPoller(
            Timers timers,
            Clock clock,
            RandomGenerator random,
            MirrorClient client,
            StoreMirror mirror,
            MirrorUpdater updater,
            WeightsView weights,
            BooleanSupplier isBehind,
            Supplier<List<String>> peers) {
        this.timers = timers;
        this.clock = clock;
        this.random = random;
        this.client = client;
        this.mirror = mirror;
        this.updater = updater;
        this.weights = weights;
        this.isBehind = isBehind;
        this.peers = peers;
    }

    /** Starts polling: until the initial answers have been collected, and whenever no other source answers. */
    public void start() {
        timers.schedule(POLL_INTERVAL_MILLIS, this::poll);
    }

    /**
     * Collects initial answers again, as after a start, because the publication times known to this router are
     * unreliable.
     */
    public void restartBootstrap() {
        bootstrapped = false;
        bootstrapAnswers = 0;
    }

    private void poll() {
        List<String> addresses = isBehind.getAsBoolean() || !bootstrapped ? peers.get() : List.of();
        if (addresses.isEmpty()) {
            start();
            return;
        }
        String peer = selectPeer(addresses);
        long sent = clock.monotonicMillis();
        client.fetch(peer, mirror.revision(), Duration.ZERO).subscribe((answer, e) -> {
            currentPeer = Optional.of(peer).filter(p -> e == null && answer.readsStore());
            if (e == null) {
                handleAnswer(peer, answer, sent);
            } else {
                logger.atFine().withCause(e).log("mirror query to router %s failed", peer);
            }
            start();
        });
    }

    /** Selects a random peer during the start, to query several; later keeps to the peer that the store answers. */
    private String selectPeer(List<String> addresses) {
        return currentPeer
                .filter(p -> bootstrapped && addresses.contains(p))
                .orElseGet(() -> addresses.get(random.nextInt(addresses.size())));
    }

    private void handleAnswer(String peer, MirrorAnswer answer, long sent) {
        if (updater.apply(answer, sent)) {
            log(peer, answer.named());
            bootstrapAnswers++;
        }
        bootstrapped = !weights.hasEstimates() || bootstrapAnswers >= MAX_BOOTSTRAP_ANSWERS;
    }

    private static void log(String peer, List<NamedAge> ages) {
        if (!ages.isEmpty()) {
            logger.atInfo()
                    .with(Logs.DECISION, "weights told")
                    .with(Logs.INPUTS, ages.toString())
                    .log("router %s reported when weights versions were published", peer);
        }
    }
}
