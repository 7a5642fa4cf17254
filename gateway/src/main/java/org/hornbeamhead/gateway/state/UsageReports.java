package org.hornbeamhead.gateway.state;

import java.util.List;

/** What this router tells other routers of its use of a limit that all routers share, as datagrams. */
public interface UsageReports {
    /**
     * Returns whether there is use that was not told yet. Called regularly, also without requests.
     *
     * @param nowMillis the monotonic time
     * @return true if {@link #takeChanges} would return any use
     */
    boolean hasChanges(long nowMillis);

    /**
     * Returns the use that changed since it was last told.
     *
     * @param nowMillis the monotonic time
     * @return the datagrams
     */
    List<byte[]> takeChanges(long nowMillis);

    /**
     * Returns recent use, whether it was told or not.
     *
     * @param idle whether this router has no callers
     * @param nowMillis the monotonic time
     * @return the datagrams, none if there is nothing to tell
     */
    List<byte[]> summary(boolean idle, long nowMillis);
}
