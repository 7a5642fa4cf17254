package org.hornbeamhead.core.drain;

import org.hornbeamhead.core.time.Clock;

/**
 * The sequence of states of a graceful shutdown.
 *
 * <p>If a process stopped listening while callers still use its address from a recent answer, every planned restart
 * would cause refused connections. The address is therefore removed from new answers first, and the listener stays open
 * until the longest-lived answer has expired and the last stream has ended.
 */
public final class DrainSequence {
    private final Clock clock;
    private final long answerTtlMillis;
    private DrainState state = DrainState.SERVING;
    private long leavingSinceMillis;

    /**
     * Creates a sequence in state {@link DrainState#SERVING}.
     *
     * @param clock the clock
     * @param answerTtlMillis how long callers may use an address answer, plus the time until other processes learn that
     *     this one is leaving, in milliseconds
     */
    public DrainSequence(Clock clock, long answerTtlMillis) {
        this.clock = clock;
        this.answerTtlMillis = answerTtlMillis;
    }

    /** Starts the shutdown. Further calls have no effect. */
    public void leave() {
        if (state == DrainState.SERVING) {
            state = DrainState.LEAVING;
            leavingSinceMillis = clock.monotonicMillis();
        }
    }

    /**
     * Advances to the latest state that can be reached now.
     *
     * @param running the number of requests in progress
     * @return the new state
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
     * Returns whether new requests are accepted.
     *
     * @return true until the answers that contain this process have expired
     */
    public boolean acceptsWork() {
        return state == DrainState.SERVING || state == DrainState.LEAVING;
    }

    /**
     * Returns whether address answers may contain this process.
     *
     * @return true in state {@link DrainState#SERVING}
     */
    public boolean isAdvertised() {
        return state == DrainState.SERVING;
    }
}
