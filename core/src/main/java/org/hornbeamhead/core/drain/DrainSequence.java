package org.hornbeamhead.core.drain;

import org.hornbeamhead.core.time.Clock;

/**
 * The order of a graceful shutdown.
 *
 * <p>Failure: a process stops listening while callers still hold its address from an answer given a moment ago.
 * Symptom: refused connections at every planned restart. So the address leaves the answers first, and the listener
 * stays until the longest-lived answer has run out and the last stream has ended.
 */
public final class DrainSequence {
    private final Clock clock;
    private final long answerTtlMillis;
    private DrainState state = DrainState.SERVING;
    private long leavingSinceMillis;

    /**
     * Makes a sequence that is serving.
     *
     * @param clock the clock
     * @param answerTtlMillis how long callers may keep an address answer, with the time it takes others to hear that
     *     this process leaves, in milliseconds
     */
    public DrainSequence(Clock clock, long answerTtlMillis) {
        this.clock = clock;
        this.answerTtlMillis = answerTtlMillis;
    }

    /** Starts to leave. A second call does nothing. */
    public void leave() {
        if (state == DrainState.SERVING) {
            state = DrainState.LEAVING;
            leavingSinceMillis = clock.monotonicMillis();
        }
    }

    /**
     * Moves on as far as possible.
     *
     * @param running the requests still in work
     * @return the state reached
     */
    public DrainState step(int running) {
        if (state == DrainState.LEAVING && clock.monotonicMillis() - leavingSinceMillis >= answerTtlMillis) {
            state = DrainState.FINISHING;
        }
        if (state == DrainState.FINISHING && running == 0) {
            state = DrainState.DONE;
        }
        return state;
    }

    /**
     * Tells whether new requests are taken.
     *
     * @return true until the answers that name this process have run out
     */
    public boolean acceptsWork() {
        return state == DrainState.SERVING || state == DrainState.LEAVING;
    }

    /**
     * Tells whether others may name this process in address answers.
     *
     * @return true while serving
     */
    public boolean isAdvertised() {
        return state == DrainState.SERVING;
    }
}
