package org.hornbeamhead.core.config;

import java.util.List;

/** What came of an operator's change. */
public sealed interface AppendResult {
    /**
     * It is accepted.
     *
     * @param state the configuration with the change
     */
    record Accepted(ConfigState state) implements AppendResult {}

    /**
     * Others changed the configuration meanwhile; this change was not made.
     *
     * @param state the present configuration
     * @param others the entries that came in between
     */
    record Overtaken(ConfigState state, List<ConfigRecord> others) implements AppendResult {}

    /**
     * The change was surely not made.
     *
     * @param why for the operator
     */
    record NotMade(String why) implements AppendResult {}

    /**
     * It could not be learned whether the change was made; the history will show the change's id, or not.
     *
     * @param changeId the change's id
     * @param why for the operator
     */
    record InDoubt(String changeId, String why) implements AppendResult {}
}
