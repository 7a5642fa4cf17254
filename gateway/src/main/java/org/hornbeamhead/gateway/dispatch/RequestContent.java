package org.hornbeamhead.gateway.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.crash.RequestFingerprint;
import org.hornbeamhead.core.engine.Prompt;
import org.hornbeamhead.core.engine.PromptPart;
import org.hornbeamhead.core.forward.AttemptOutcome;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.gateway.limit.BrittleReplicas;
import org.hornbeamhead.gateway.quarantine.Quarantine;
import org.hornbeamhead.gateway.replica.LiveReplica;

/**
 * The content of a request and the shared parts of its prompt, by which requests that end replicas are recognised
 * whoever sends them.
 */
final class RequestContent {
    /** The number of parts of a prompt in a log line. */
    private static final int MAX_LOGGED_PARTS = 8;

    private final ServiceRequest request;
    private final Quarantine quarantine;
    private final BrittleReplicas brittleReplicas;
    private Optional<RequestFingerprint> fingerprint = Optional.empty();
    private boolean test;

    RequestContent(ServiceRequest request, Quarantine quarantine, BrittleReplicas brittleReplicas) {
        this.request = request;
        this.quarantine = quarantine;
        this.brittleReplicas = brittleReplicas;
    }

    /** Returns the fingerprint, computed at first use since few requests need it. */
    RequestFingerprint fingerprint() {
        if (fingerprint.isEmpty()) {
            fingerprint = Optional.of(RequestFingerprint.of(
                            request.callerRequest().message().head().target(),
                            request.owner().map(KeyOwner::customer).orElse(""),
                            request.callerRequest().message().body())
                    .withPromptParts(sharedParts()));
        }
        return fingerprint.get();
    }

    /** Describes the content and the shared parts of the prompt, for the log. */
    String describe() {
        return "content=" + fingerprint() + " parts="
                + sharedParts().stream().limit(MAX_LOGGED_PARTS).toList();
    }

    private List<String> sharedParts() {
        return request.callerRequest().prompt().map(Prompt::sharedParts).orElse(List.of()).stream()
                .map(PromptPart::id)
                .toList();
    }

    /** Returns how long the request is quarantined, in milliseconds; empty if it is not, or its attempt is a test. */
    OptionalLong quarantineMillis() {
        return test ? OptionalLong.empty() : quarantine.remainingMillis(this::fingerprint);
    }

    /**
     * Decides whether an attempt may start. The attempt may be let run although the request is quarantined, to find out
     * which part of its prompt crashes replicas.
     *
     * @return how long the request is quarantined, in milliseconds; empty if the attempt may start
     */
    OptionalLong admitAttempt() {
        test = false;
        OptionalLong millis = quarantineMillis();
        test = millis.isPresent() && quarantine.admitAsTest(fingerprint());
        return test ? OptionalLong.empty() : millis;
    }

    /** Returns whether an attempt that its replica has not begun must be withdrawn. */
    boolean mustBeWithdrawn() {
        return quarantineMillis().isPresent() && !quarantine.isTest(fingerprint());
    }

    /** Reports an attempt after which the replica may have ended. */
    void reportLoss(AttemptOutcome end, Attempt attempt) {
        LiveReplica replica = attempt.target().replica();
        if (brittleReplicas.mayHaveFallenOver(replica)) {
            return;
        }
        if (end == AttemptOutcome.BROKEN) {
            quarantine.connectionBroken(attempt.lost(), replica);
        } else if (end == AttemptOutcome.SILENT) {
            reportSilence(attempt);
        }
    }

    /** Reports an attempt at a replica that says nothing. */
    void reportSilence(Attempt attempt) {
        quarantine.replicaSilent(attempt.lost(), attempt.target().replica());
    }

    /**
     * Records that a replica ran the request to its end. An error response of the replica would not prove that, since
     * it may fail before it starts.
     */
    void recordCompletion() {
        quarantine.requestCompleted(this::fingerprint);
    }

    /** Records that a replica survived the request, which began to run at the given monotonic time. */
    void recordSurvival(long startedAt) {
        quarantine.replicaSurvived(this::fingerprint, startedAt);
    }

    /** Returns whether a survival is worth recording. */
    boolean isWatched() {
        return quarantine.isWatching();
    }
}
