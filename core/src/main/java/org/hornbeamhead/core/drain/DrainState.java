package org.hornbeamhead.core.drain;

/** How far a graceful shutdown has come. */
public enum DrainState {
    /** Serving. */
    SERVING,
    /** Named in no new address answer, still serving whoever holds an older one. */
    LEAVING,
    /** No new request is taken; the last ones end. */
    FINISHING,
    /** Nothing is left; the process may end. */
    DONE
}
