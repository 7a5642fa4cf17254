package org.hornbeamhead.gateway.resume;

import java.util.function.Consumer;

/** Confirms that the list of replicas leaves out none that was listed before. */
@FunctionalInterface
public interface ListConfirmation {
    /**
     * Asks for a confirmation.
     *
     * @param listener receives whether the list contains every replica that was listed before this call; called once,
     *     possibly before this method returns
     */
    void confirm(Consumer<Boolean> listener);
}
