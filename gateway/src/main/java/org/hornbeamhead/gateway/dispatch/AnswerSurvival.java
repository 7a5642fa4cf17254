package org.hornbeamhead.gateway.dispatch;

import io.activej.reactor.nio.NioReactor;
import java.util.OptionalLong;
import org.hornbeamhead.core.crash.LostAttempt;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaConnection;
import org.hornbeamhead.gateway.replica.ReplicaConnectionPool.Check;

/** Recognizes that a replica has survived a request: it still runs some time after its answer has begun. */
final class AnswerSurvival {
    private final NioReactor reactor;
    private final Clock clock;
    private final RequestContent content;
    private OptionalLong startedAt = OptionalLong.empty();
    private boolean recorded;

    AnswerSurvival(NioReactor reactor, Clock clock, RequestContent content) {
        this.reactor = reactor;
        this.clock = clock;
        this.content = content;
    }

    /** Returns the monotonic time at which the replica began its answer, empty if it is not known to have begun. */
    OptionalLong startedAt() {
        return startedAt;
    }

    /** Records that a part of the answer's body was received. */
    void bytesReceived() {
        long now = clock.monotonicMillis();
        if (startedAt.isEmpty()) {
            startedAt = OptionalLong.of(now);
        } else if (now - startedAt.getAsLong() >= LostAttempt.SURVIVAL_MILLIS) {
            record();
        }
    }

    /**
     * Records that the whole answer was received. That its connection stays open, or that another one opens, shows that
     * the replica runs on.
     */
    void completed(LiveReplica replica, ReplicaConnection connection) {
        if (recorded || !content.isWatched()) {
            return;
        }
        long now = clock.monotonicMillis();
        startedAt = OptionalLong.of(startedAt.orElse(now));
        long waitMillis = Math.max(0, startedAt.getAsLong() + LostAttempt.SURVIVAL_MILLIS - now);
        reactor.delayBackground(waitMillis, () -> {
            if (!connection.isClosed()) {
                record();
            } else {
                replica.connections().check().whenResult(check -> {
                    if (check == Check.OPENED) {
                        record();
                    }
                });
            }
        });
    }

    private void record() {
        if (!recorded) {
            recorded = true;
            content.recordSurvival(startedAt.getAsLong());
        }
    }
}
