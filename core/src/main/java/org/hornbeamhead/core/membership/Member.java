package org.hornbeamhead.core.membership;

/**
 * The state of a router as reported by itself or by another router.
 *
 * @param peerAddress the address for other routers, which identifies the member
 * @param address the address for callers
 * @param incarnation raised only by the member itself: the process start time in milliseconds since the Unix epoch,
 *     increased with each refutation
 * @param status the status
 */
public record Member(String peerAddress, String address, long incarnation, MemberStatus status) {
    /**
     * Returns whether this record is newer than the known one.
     *
     * @param known the known record of the same member
     * @return true if this record must replace the known one
     */
    public boolean supersedes(Member known) {
        if (incarnation != known.incarnation()) {
            return incarnation > known.incarnation();
        }
        return status.compareTo(known.status()) > 0;
    }

    /**
     * Returns a copy of this member with another status.
     *
     * @param changed the new status
     * @return the copy
     */
    public Member withStatus(MemberStatus changed) {
        return new Member(peerAddress, address, incarnation, changed);
    }
}
