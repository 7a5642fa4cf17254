package org.hornbeamhead.gateway.dispatch;

import java.util.OptionalDouble;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.gateway.availability.ReplicaNotices;
import org.hornbeamhead.gateway.limit.BrittleReplicas;
import org.hornbeamhead.gateway.limit.ReplicaLimits;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.state.LoadStatements;

/**
 * Heeds what replicas state of themselves in the heads of their answers. A statement binds each router that passes the
 * answer on, whether the replica or another router sent it here.
 */
final class ReplicaStatements {
    /** The lowest status that reports a failure of the replica itself (5xx). */
    private static final int MIN_SERVER_ERROR = 500;

    private final HeaderCodec headerCodec;
    private final ReplicaLimits limits;
    private final BrittleReplicas brittleReplicas;
    private final ReplicaNotices notices;
    private final LoadStatements loadStatements;
    private final UnknownHeaders unknownHeaders;

    ReplicaStatements(
            HeaderCodec headerCodec,
            ReplicaLimits limits,
            BrittleReplicas brittleReplicas,
            ReplicaNotices notices,
            LoadStatements loadStatements,
            UnknownHeaders unknownHeaders) {
        this.headerCodec = headerCodec;
        this.limits = limits;
        this.brittleReplicas = brittleReplicas;
        this.notices = notices;
        this.loadStatements = loadStatements;
        this.unknownHeaders = unknownHeaders;
    }

    /**
     * Heeds what an answer states.
     *
     * @param replica the run of the replica that the request was addressed to
     * @param head the head of the answer
     * @param sentAt when this router sent the request, in monotonic milliseconds
     * @param request the request
     * @return the decoded head
     */
    ReplicaResponseInfo observe(LiveReplica replica, ResponseHead head, long sentAt, CallerRequest request) {
        String id = request.id();
        ReplicaResponseInfo info =
                headerCodec.decodeResponse(head, replica.entry().id());
        request.prompt().ifPresent(prompt -> info.weightsVersion()
                .ifPresent(version -> replica.observeVersion(prompt.model(), version)));
        if (info.isAttributable() && !info.wrongReplica()) {
            observeLimit(replica, info, head.status(), sentAt);
            brittleReplicas.observe(replica, info.brittle(), sentAt, id);
            notices.observe(replica, info.availability(), id);
            loadStatements.observe(replica, info.load(), sentAt, id);
        }
        unknownHeaders.observe(head, replica.entry().id(), id);
        return info;
    }

    /** Records what the answer states of the replica's limit. A failure without a limit does not end it. */
    private void observeLimit(LiveReplica replica, ReplicaResponseInfo info, int status, long sentAt) {
        boolean isStated = !info.requestLimit().exists(OptionalDouble::isEmpty);
        if (isStated || status < MIN_SERVER_ERROR) {
            limits.observe(replica, info.requestLimit(), sentAt);
        }
    }
}
