package org.hornbeamhead.core.availability;

import io.vavr.control.Either;
import java.util.OptionalLong;

/**
 * What one answer of a replica says about whether the replica takes further requests.
 *
 * @param leaving whether the replica is leaving, or why what it says is invalid
 * @param backOffMillis how long the replica wants no requests from this router, in milliseconds, empty if it does not
 *     say, or why what it says is invalid
 */
public record AvailabilityNotice(Either<String, Boolean> leaving, Either<String, OptionalLong> backOffMillis) {
    /** A notice that says nothing. */
    public static final AvailabilityNotice NONE =
            new AvailabilityNotice(Either.right(false), Either.right(OptionalLong.empty()));

    /**
     * Returns whether the answer makes the replica unavailable.
     *
     * @return true if the replica is leaving or asks the router to back off
     */
    public boolean isUnavailable() {
        return leaving.contains(true) || backOffMillis.exists(OptionalLong::isPresent);
    }
}
