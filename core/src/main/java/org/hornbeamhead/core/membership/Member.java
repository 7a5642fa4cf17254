package org.hornbeamhead.core.membership;

/**
 * What is said of a router, by itself or by others.
 *
 * @param peerAddress the address for other routers, which names the member
 * @param address the address for callers
 * @param incarnation raised by the member alone: it starts at its start time in milliseconds since the Unix epoch, and
 *     grows with each refutation
 * @param status the status
 */
public record Member(String peerAddress, String address, long incarnation, MemberStatus status) {
    /**
     * Tells whether this is newer than what is known.
     *
     * @param known what is known of the same member
     * @return true when it must replace it
     */
    public boolean supersedes(Member known) {
        if (incarnation != known.incarnation()) {
            return incarnation > known.incarnation();
        }
        return status.compareTo(known.status()) > 0;
    }

    /**
     * Gives the same member with another status.
     *
     * @param changed the status
     * @return the member
     */
    public Member with(MemberStatus changed) {
        return new Member(peerAddress, address, incarnation, changed);
    }
}
