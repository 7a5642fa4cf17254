package org.hornbeamhead.core.config;

import java.util.List;

/** The result of appending an operator's change to the configuration log. */
public sealed interface AppendResult {
    /**
     * The change was appended.
     *
     * @param state the configuration including the change
     */
    record Accepted(ConfigState state) implements AppendResult {}

    /**
     * The change was not applied because other changes were appended after its base version.
     *
     * @param state the current configuration
     * @param interveningRecords the entries appended after the base version
     */
    record Conflict(ConfigState state, List<ConfigRecord> interveningRecords) implements AppendResult {}

    /**
     * The change was definitely not applied.
     *
     * @param cause the cause, as shown to the operator
     */
    record NotApplied(String cause) implements AppendResult {}

    /**
     * It is unknown whether the change was applied. If it was, its id appears in the history.
     *
     * @param changeId the id of the change
     * @param cause the cause, as shown to the operator
     */
    record InDoubt(String changeId, String cause) implements AppendResult {}
}
