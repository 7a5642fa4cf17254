package org.hornbeamhead.core.forward;

/** The step that follows an attempt. */
public sealed interface NextStep {
    /** Sends the request to a replica that has not been tried. */
    record SendElsewhere() implements NextStep {}

    /**
     * Ends the request without a further attempt.
     *
     * @param answer the response to the caller
     */
    record GiveUp(FinalResponse answer) implements NextStep {}
}
