package org.hornbeamhead.gateway.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.crash.LostAttempt;
import org.hornbeamhead.core.crash.RequestFingerprint;
import org.hornbeamhead.core.engine.Prompt;
import org.hornbeamhead.core.engine.PromptPart;
import org.hornbeamhead.core.forward.AttemptOutcome;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.gateway.limit.BrittleReplicas;
import org.hornbeamhead.gateway.quarantine.Quarantine;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** The content of a request, by which a request that ends replicas is recognised whoever sends it. */
final class RequestContent {
    /** The number of parts of a prompt in a log line. */
    private static final int MAX_LOGGED_PARTS = 8;

    private final ServiceRequest request;
    private final Clock clock;
    private final Quarantine quarantine;
    private final BrittleReplicas brittleReplicas;
    private Optional<RequestFingerprint> fingerprint = Optional.empty();

    RequestContent(ServiceRequest request, Clock clock, Quarantine quarantine, BrittleReplicas brittleReplicas) {
        this.request = request;
        this.clock = clock;
        this.quarantine = quarantine;
        this.brittleReplicas = brittleReplicas;
    }

    /** Returns the fingerprint of the content, computed at first use since few requests need it. */
    RequestFingerprint fingerprint() {
        if (fingerprint.isEmpty()) {
            fingerprint = Optional.of(RequestFingerprint.of(
                    request.callerRequest().message().head().target(),
                    request.owner().map(KeyOwner::customer).orElse(""),
                    request.callerRequest().message().body()));
        }
        return fingerprint.get();
    }

    /** Describes the content and the shared parts of the prompt, for the log. */
    String describe() {
        List<String> parts = request.callerRequest().prompt().map(Prompt::sharedParts).orElse(List.of()).stream()
                .limit(MAX_LOGGED_PARTS)
                .map(PromptPart::id)
                .toList();
        return "content=" + fingerprint() + " parts=" + parts;
    }

    /** Returns how long the content is quarantined, in milliseconds; empty if it is not. */
    OptionalLong quarantineMillis() {
        return quarantine.remainingMillis(this::fingerprint);
    }

    /** Reports an attempt after which the replica may have ended. */
    void reportLoss(AttemptOutcome end, LiveReplica replica, long sentAt) {
        if (brittleReplicas.mayHaveFallenOver(replica)) {
            return;
        }
        if (end == AttemptOutcome.BROKEN) {
            quarantine.connectionBroken(lostAttempt(sentAt), replica);
        } else if (end == AttemptOutcome.SILENT) {
            reportSilence(replica, sentAt);
        }
    }

    /** Reports an attempt at a replica that says nothing. */
    void reportSilence(LiveReplica replica, long sentAt) {
        quarantine.replicaSilent(lostAttempt(sentAt), replica);
    }

    private LostAttempt lostAttempt(long sentAt) {
        return new LostAttempt(fingerprint(), sentAt, clock.monotonicMillis());
    }

    /**
     * Records that a replica ran the request to its end. An error response of the replica would not prove that, since
     * it may fail before it starts.
     */
    void recordCompletion() {
        quarantine.requestCompleted(this::fingerprint);
    }
}
