package org.hornbeamhead.core.drain;

/** The states of a graceful shutdown, in order. */
public enum DrainState {
    /** Normal operation, before the shutdown starts. */
    SERVING,
    /** Removed from new address answers, but still accepting requests from callers that use an older one. */
    LEAVING,
    /** No new requests are accepted; requests in progress are completed. */
    FINISHING,
    /** All requests have ended; the process may exit. */
    DONE
}
