package org.hornbeamhead.core.config;

import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.Optional;

/**
 * A class of work and its target.
 *
 * @param name the name
 * @param batch whether the class may wait until a time
 * @param firstToken interactive: how soon the first token must come; batch: zero
 * @param betweenTokens interactive: how soon each further token must come; batch: zero
 * @param finishBy batch: the hour by which a request must be done
 * @param finishWithin batch: the time after arrival within which a request must be done
 */
public record RequestClass(
        String name,
        boolean batch,
        Duration firstToken,
        Duration betweenTokens,
        Optional<LocalTime> finishBy,
        Optional<Duration> finishWithin) {
    private static final Duration LONGEST = Duration.ofHours(24);

    /**
     * Computes how long a batch request may take.
     *
     * @param now the time of arrival
     * @param zone the zone of the hour
     * @return the time left until it must be done
     */
    public Duration timeLeft(ZonedDateTime now, ZoneId zone) {
        Duration byHour = finishBy.map(hour -> untilNext(hour, now.withZoneSameInstant(zone)))
                .orElse(LONGEST);
        return finishWithin.filter(d -> d.compareTo(byHour) < 0).orElse(byHour);
    }

    private static Duration untilNext(LocalTime hour, ZonedDateTime now) {
        ZonedDateTime today = now.with(hour);
        return Duration.between(now, today.isAfter(now) ? today : today.plusDays(1));
    }
}
