package org.hornbeamhead.gateway.dispatch;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.hornbeamhead.core.engine.EngineCandidate;
import org.hornbeamhead.core.shortage.EngineRoom;

/**
 * A request of a deferrable route that asks for admission.
 *
 * @param id the request's id, for the log
 * @param service the name of its service
 * @param route the name of its route
 * @param customer the customer; empty for anonymous requests
 * @param priority its priority, 0 is the highest
 * @param size what it takes
 * @param times the times that bound its wait
 * @param engines supplies the engines that it could be sent to now
 * @param outcome receives the decision
 */
record DeferrableRequest(
        String id,
        String service,
        String route,
        String customer,
        int priority,
        Size size,
        Times times,
        Supplier<List<EngineCandidate>> engines,
        Outcome outcome) {

    /**
     * What a request takes.
     *
     * @param tokens the tokens of its prompt and of its longest answer
     * @param bodyBytes the size of its body
     */
    record Size(int tokens, long bodyBytes) {}

    /**
     * The times that bound the wait of a request, on the monotonic clock.
     *
     * @param arrivedAt when it arrived
     * @param latestStartAt until when it must be sent to be on time
     * @param deadline when its caller gives up
     * @param targetMillis the latency target of its route
     * @param urgentTargetMillis the shortest latency target of the urgent routes of its service
     */
    record Times(long arrivedAt, long latestStartAt, long deadline, long targetMillis, long urgentTargetMillis) {
        /**
         * Creates the times of a request. When its caller sent its first attempt is not known: callers choose their
         * deadlines freely, so the time left does not tell.
         */
        static Times of(long arrivedAt, long deadline, long targetMillis, long urgentTargetMillis) {
            return new Times(arrivedAt, arrivedAt + targetMillis, deadline, targetMillis, urgentTargetMillis);
        }

        /** A longer wait leaves too little of the target for the engine. */
        long waitUntilMillis() {
            return Math.min(arrivedAt + targetMillis / 2, deadline);
        }
    }

    /** Receives the decision. */
    interface Outcome {
        /** Sends the request now. */
        void send();

        /**
         * Refuses the request, which has not run.
         *
         * @param reason the reason, sent to the caller
         * @param returnMillis when the caller may return, in milliseconds from now
         */
        void refuse(String reason, long returnMillis);

        /** Creates an outcome of its two actions. */
        static Outcome of(Runnable send, BiConsumer<String, Long> refuse) {
            return new Outcome() {
                @Override
                public void send() {
                    send.run();
                }

                @Override
                public void refuse(String reason, long returnMillis) {
                    refuse.accept(reason, returnMillis);
                }
            };
        }
    }

    /** Returns the engines' room, described for the log. */
    static String describe(EngineRoom room, int free) {
        return "room=" + free + " urgentPerSecond=" + Math.round(room.urgentPerSecond()) + " urgentTargetMillis="
                + room.urgentTargetMillis();
    }
}
