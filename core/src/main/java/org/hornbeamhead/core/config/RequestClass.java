package org.hornbeamhead.core.config;

import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.Optional;

/**
 * A class of work with its latency target or completion time.
 *
 * @param name the name of the class
 * @param batch true for a batch class, whose requests may wait until a given time; false for an interactive class
 * @param firstToken the maximum time to the first token for interactive classes; zero for batch classes
 * @param betweenTokens the maximum time between tokens for interactive classes; zero for batch classes
 * @param finishBy for batch classes, the time of day by which a request must finish
 * @param finishWithin for batch classes, the time after arrival within which a request must finish
 */
public record RequestClass(
        String name,
        boolean batch,
        Duration firstToken,
        Duration betweenTokens,
        Optional<LocalTime> finishBy,
        Optional<Duration> finishWithin) {
    private static final Duration MAX_TIME_LEFT = Duration.ofHours(24);

    /**
     * Returns how long a batch request may take.
     *
     * @param now the time of arrival
     * @param zone the time zone of the time of day in {@code finishBy}
     * @return the time left until the request must finish
     */
    public Duration timeLeft(ZonedDateTime now, ZoneId zone) {
        Duration untilFinishBy = finishBy.map(timeOfDay -> untilNext(timeOfDay, now.withZoneSameInstant(zone)))
                .orElse(MAX_TIME_LEFT);
        return finishWithin.filter(d -> d.compareTo(untilFinishBy) < 0).orElse(untilFinishBy);
    }

    private static Duration untilNext(LocalTime timeOfDay, ZonedDateTime now) {
        ZonedDateTime today = now.with(timeOfDay);
        return Duration.between(now, today.isAfter(now) ? today : today.plusDays(1));
    }
}
