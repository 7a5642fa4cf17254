package org.hornbeamhead.core.engine;

/**
 * What a request and the routes of its service ask of placement.
 *
 * @param mixed whether long prompts and long answers of the service are told apart by their expected lengths
 * @param priority the priority of the request's route, 0 is the highest
 * @param targetMillis the time within which the first event is on time, in milliseconds
 * @param gapMillis the shortest target for the gap between two events on the service's routes, in milliseconds
 * @param timeLeftMillis how long the caller waits, in milliseconds
 */
public record RequestLevel(boolean mixed, int priority, long targetMillis, long gapMillis, long timeLeftMillis) {
    /** The level of requests of which placement regards nothing but the prompt. */
    public static final RequestLevel UNIFORM = new RequestLevel(false, 0, Long.MAX_VALUE, 0, Long.MAX_VALUE);

    /** Validates that the times are not negative. */
    public RequestLevel {
        if (targetMillis < 0 || gapMillis < 0) {
            throw new IllegalArgumentException(
                    "the targets must not be negative, but are " + targetMillis + " ms and " + gapMillis + " ms");
        }
    }

    boolean isLongAnswer(Prompt prompt) {
        return mixed ? prompt.isMostlyDecoding() : prompt.hasLongAnswer();
    }

    boolean accepts(EngineChoice choice) {
        return EngineAdmission.retryAfterMillis(choice, targetMillis, timeLeftMillis)
                .isEmpty();
    }
}
