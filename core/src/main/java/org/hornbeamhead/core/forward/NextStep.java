package org.hornbeamhead.core.forward;

/** What follows the end of a try. */
public sealed interface NextStep {
    /** The request is sent to a replica that has not been tried. */
    record SendElsewhere() implements NextStep {}

    /**
     * The request ends.
     *
     * @param answer what the caller is told
     */
    record GiveUp(FinalAnswer answer) implements NextStep {}
}
