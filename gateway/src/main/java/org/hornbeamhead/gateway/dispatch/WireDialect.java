package org.hornbeamhead.gateway.dispatch;

import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.core.http.WholeRequest;

/** The header lines that callers and replicas speak. */
public interface WireDialect {
    /**
     * Reads a caller's request.
     *
     * @param request the request as it came
     * @return the request in the router's terms
     */
    CallerRequest read(WholeRequest request);

    /**
     * Makes the header lines that a replica gets: the caller's, without what is the router's to set.
     *
     * @param request the caller's request
     * @param order what the router says
     * @return the lines, without length and connection
     */
    Headers toReplica(CallerRequest request, SendOrder order);

    /**
     * Reads the head of a replica's answer.
     *
     * @param head the head
     * @param replica the run of the replica that was meant
     * @return what it says
     */
    ReplicaReply reply(ResponseHead head, String replica);

    /**
     * Makes the header lines that the caller gets.
     *
     * @param head the replica's head
     * @return the lines, without length and connection
     */
    Headers toCaller(ResponseHead head);
}
