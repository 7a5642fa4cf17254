package org.hornbeamhead.core.settings;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations such as {@code 400 ms}, {@code 2.5s}, {@code 5 min}, {@code 1 h}. The unit is required. */
public final class Durations {
    private static final Pattern FORMAT = Pattern.compile("([^\\sa-z]+(?:e[^\\sa-z]+)?)\\s*([a-z]+)");
    private static final Map<String, Duration> UNITS = Map.of(
            "ms", Duration.ofMillis(1),
            "s", Duration.ofSeconds(1),
            "min", Duration.ofMinutes(1),
            "h", Duration.ofHours(1));
    /** The highest number of any unit; keeps the duration in nanoseconds within the range of a long. */
    private static final double MAX_NUMBER = 999_999_999;

    private static final Duration MAX_DURATION = Duration.ofNanos(Long.MAX_VALUE);

    private Durations() {}

    /**
     * Parses a number with a unit.
     *
     * @param text the text
     * @return the duration, rounded to nanoseconds, or a message that says why the text is invalid
     */
    public static Either<String, Duration> parse(String text) {
        Matcher m = FORMAT.matcher(text.trim());
        if (!m.matches()) {
            return Either.left("'" + text + "' is no duration; write a number and a unit, such as 400 ms");
        }
        Duration unit = UNITS.get(m.group(2));
        if (unit == null) {
            return Either.left("unknown unit '" + m.group(2) + "'; the units are ms, s, min and h");
        }
        return Decimals.parse(m.group(1), 0, MAX_NUMBER).flatMap(n -> multiply(unit, n, text));
    }

    private static Either<String, Duration> multiply(Duration unit, double number, String text) {
        double nanos = unit.toNanos() * number;
        return nanos < MAX_DURATION.toNanos()
                ? Either.right(Duration.ofNanos(Math.round(nanos)))
                : Either.left("'" + text + "' is longer than " + MAX_DURATION.toHours() + " h");
    }
}
