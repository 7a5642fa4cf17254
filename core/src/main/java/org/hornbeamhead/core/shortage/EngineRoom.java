package org.hornbeamhead.core.shortage;

import java.util.List;
import org.hornbeamhead.core.engine.EngineCandidate;

/**
 * How many deferrable requests the engines of a service can take without delaying urgent ones.
 *
 * <p>Requests of one kind come at up to 2.6 times their usual rate for some seconds. Deferrable requests that take the
 * last slots, or queue before urgent prompts, make the urgent requests of the next moment late, while they themselves
 * could have waited.
 *
 * @param urgentPerSecond the rate of urgent requests of all routers
 * @param urgentTargetMillis the shortest latency target of urgent requests, in milliseconds
 */
public record EngineRoom(double urgentPerSecond, long urgentTargetMillis) {
    /**
     * Urgent requests that arrive within this time find the slots as they are now: hints of other routers are up to 120
     * ms old, and a decision shows its effect after as long again.
     */
    private static final double LOOKAHEAD_SECONDS = 0.25;
    /** Urgent requests find a free slot in about 97% of the cases with this many standard deviations. */
    private static final double DEVIATIONS = 2;
    /** Largest share of an engine's slots that stays free. More would leave engines idle. */
    private static final double MAX_RESERVE_SHARE = 0.5;
    /** Share of the urgent target above which the wait at an engine makes urgent requests late; see EngineAdmission. */
    private static final double MAX_BACKLOG_SHARE = 0.4;

    /**
     * Returns the number of deferrable requests that may be sent now.
     *
     * @param engines the usable engines
     * @param nowMillis the monotonic time
     * @return the slots that are free beyond the reserve, at engines without a long backlog
     */
    public int room(List<EngineCandidate> engines, long nowMillis) {
        List<EngineCandidate> accepting = accepting(engines);
        return accepting.stream()
                .mapToInt(engine -> roomAt(engine, accepting.size(), nowMillis))
                .sum();
    }

    /**
     * Returns the engines that a deferrable request may be sent to.
     *
     * @param engines the usable engines
     * @param nowMillis the monotonic time
     * @return those with room
     */
    public List<EngineCandidate> withRoom(List<EngineCandidate> engines, long nowMillis) {
        List<EngineCandidate> accepting = accepting(engines);
        return accepting.stream()
                .filter(engine -> roomAt(engine, accepting.size(), nowMillis) > 0)
                .toList();
    }

    /** Returns the engines that are not about to change their weights, or all of them when there are none. */
    private static List<EngineCandidate> accepting(List<EngineCandidate> engines) {
        List<EngineCandidate> remaining =
                engines.stream().filter(e -> !e.weightChangePending()).toList();
        return remaining.isEmpty() ? engines : remaining;
    }

    private int roomAt(EngineCandidate engine, int engineCount, long nowMillis) {
        boolean backlogged =
                urgentPerSecond > 0 && engine.load().waitMillis(nowMillis) > urgentTargetMillis * MAX_BACKLOG_SHARE;
        return backlogged
                ? 0
                : Math.max(
                        0,
                        engine.slots()
                                - engine.load().runningRequests(nowMillis)
                                - reserve(engine.slots(), engineCount));
    }

    /**
     * Returns the number of slots of an engine that stay free for urgent requests.
     *
     * @param slots the slots of the engine
     * @param engines the number of engines that share the urgent requests
     * @return the reserve; 0 without urgent requests
     */
    public int reserve(int slots, int engines) {
        double arrivals = urgentPerSecond * LOOKAHEAD_SECONDS / Math.max(1, engines);
        double needed = Math.ceil(arrivals + DEVIATIONS * Math.sqrt(arrivals));
        return (int) Math.min(needed, Math.floor(slots * MAX_RESERVE_SHARE));
    }
}
