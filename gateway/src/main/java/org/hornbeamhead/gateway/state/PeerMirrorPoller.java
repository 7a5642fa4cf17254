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
 * Asks any other router what it knows, at a start and while nobody else tells.
 *
 * <p>Failure: the store turns this router away and serves the others, or a router starts and knows nothing of earlier
 * times. Symptom: this router goes on with a key that was taken away, or sends to a replica that left. It reads the
 * mirror of another one, a randomly chosen one until it finds one that the store answers; revisions decide what is
 * newer, whoever tells it.
 */
public final class PeerMirrorPoller {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** How often a router that the store does not answer asks others; a quarter of the bound, and 1 KB/s. */
    private static final long POLL_INTERVAL_MILLIS = 200;

    /** Routers that are asked at a start; when all were restarted together, none knows more than the store. */
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
     * Makes a reader that does not read yet.
     *
     * @param timers the thread's timers
     * @param clock the clock
     * @param random the source of randomness
     * @param calls asks other routers
     * @param mirror the mirror to keep up
     * @param intake takes over what others tell
     * @param weights whose names may be uncertain
     * @param behind whether nobody else tells this router what is new
     * @param peers the addresses at which other routers may be asked
     */
    PeerMirrorPoller(
            Timers timers,
            Clock clock,
            RandomGenerator random,
            MirrorClient calls,
            StoreMirror mirror,
            MirrorUpdater intake,
            WeightsView weights,
            BooleanSupplier behind,
            Supplier<List<String>> peers) {
        this.timers = timers;
        this.clock = clock;
        this.random = random;
        this.client = calls;
        this.mirror = mirror;
        this.updater = intake;
        this.weights = weights;
        this.isBehind = behind;
        this.peers = peers;
    }

    /** Reads from other routers, which know what the store does not tell, and then whenever nobody else answers. */
    public void start() {
        timers.schedule(POLL_INTERVAL_MILLIS, this::poll);
    }

    /** Asks other routers again, as after a start: what this one knew of times is in doubt. */
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
                logger.atFine().withCause(e).log("router %s told nothing", peer);
            }
            start();
        });
    }

    /** At a start several tell more than one; while nobody else answers, the one that the store answers knows best. */
    private String selectPeer(List<String> addresses) {
        return currentPeer.filter(p -> bootstrapped && addresses.contains(p))
                .orElseGet(() -> addresses.get(random.nextInt(addresses.size())));
    }

    private void handleAnswer(String peer, MirrorAnswer answer, long sent) {
        if (updater.apply(answer, sent)) {
            log(peer, answer.named());
            bootstrapAnswers++;
        }
        bootstrapped = !weights.hasEstimates() || bootstrapAnswers >= MAX_BOOTSTRAP_ANSWERS;
    }

    private static void log(String peer, List<NamedAge> named) {
        if (!named.isEmpty()) {
            logger.atInfo()
                    .with(Logs.DECISION, "weights told")
                    .with(Logs.INPUTS, named.toString())
                    .log("router %s tells when weights were named", peer);
        }
    }
}
