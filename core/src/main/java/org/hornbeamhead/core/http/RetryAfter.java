package org.hornbeamhead.core.http;

import io.vavr.control.Either;
import java.util.List;
import java.util.OptionalLong;
import org.hornbeamhead.core.settings.Decimals;

/** Parses the {@code Retry-After} header of an answer. Dates are not accepted, since clocks differ between hosts. */
public final class RetryAfter {
    /** The name of the header. */
    public static final String NAME = "Retry-After";
    /** Longer times are shortened to this, so that one damaged value does not exclude a server for good. */
    public static final long MAX_MILLIS = 600_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private RetryAfter() {}

    /**
     * Parses the values of the header.
     *
     * @param values the value of each field with that name
     * @return the time in milliseconds, at most {@link #MAX_MILLIS}, empty if there is no field or the time is 0, or
     *     why the header is invalid
     */
    public static Either<String, OptionalLong> parse(List<String> values) {
        if (values.isEmpty()) {
            return Either.right(OptionalLong.empty());
        }
        return values.size() == 1
                ? Decimals.parse(values.get(0), 0, Double.MAX_VALUE).map(RetryAfter::toMillis)
                : Either.left(values.size() + " times are stated");
    }

    private static OptionalLong toMillis(double seconds) {
        long millis = (long) Math.ceil(Math.min(MAX_MILLIS, seconds * MILLIS_PER_SECOND));
        return millis == 0 ? OptionalLong.empty() : OptionalLong.of(millis);
    }
}
