package org.hornbeamhead.gateway.dispatch;

import java.util.OptionalLong;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.core.http.WholeRequest;

/** Decodes and encodes the HTTP headers exchanged with callers and replicas. */
public interface HeaderCodec {
    /**
     * Decodes a caller's request.
     *
     * @param request the HTTP request as received
     * @return the decoded request
     */
    CallerRequest decodeRequest(WholeRequest request);

    /**
     * Returns the id that a caller's request names.
     *
     * @param request the HTTP request as received
     * @return the id, empty if it names none
     */
    default String requestId(WholeRequest request) {
        return decodeRequest(request).id();
    }

    /**
     * Returns the headers sent to a replica: the caller's headers without those that only the router may set, and the
     * router's own.
     *
     * @param request the caller's request
     * @param options the values that the router adds
     * @return the headers, without content length and connection headers
     */
    Headers replicaHeaders(CallerRequest request, ForwardingOptions options);

    /**
     * Returns the headers of a request that is handed to another router: those of the caller, with the time that is
     * left.
     *
     * @param request the caller's request
     * @param timeLeftMillis how long the caller will wait, in milliseconds
     * @param lastEventId the id of the event after which the stream is to be resumed, empty to start it
     * @return the headers, without content length and connection headers
     */
    Headers relayHeaders(CallerRequest request, long timeLeftMillis, OptionalLong lastEventId);

    /**
     * Decodes the head of a replica's response.
     *
     * @param head the response head
     * @param replica the run of the replica that the request was addressed to
     * @return the decoded information
     */
    ReplicaResponseInfo decodeResponse(ResponseHead head, String replica);

    /**
     * Returns whether a header of a replica's response is known, be it read here or only forwarded.
     *
     * @param name the name, in any case
     * @return true for a name of the protocol
     */
    boolean isKnownResponseHeader(String name);

    /**
     * Returns the headers sent to the caller.
     *
     * @param head the head of the replica's response
     * @return the headers, without content length and connection headers
     */
    Headers callerHeaders(ResponseHead head);
}
