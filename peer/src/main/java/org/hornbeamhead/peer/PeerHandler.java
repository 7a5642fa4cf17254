package org.hornbeamhead.peer;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.hornbeamhead.core.claim.Claim;
import org.hornbeamhead.core.claim.ClaimResult;
import org.hornbeamhead.core.config.ConfigRecord;

/** Answers what other routers ask. Called on the peer server's thread; answers may come from any thread. */
public interface PeerHandler {
    /**
     * Gives the configuration's entries.
     *
     * @param knownVersion the version that the asker has
     * @return the entries after it
     */
    CompletionStage<List<ConfigRecord>> configSince(long knownVersion);

    /**
     * Claims an id on behalf of another router.
     *
     * @param claim the claim, with the asker's own attempt number
     * @return the result
     */
    CompletionStage<ClaimResult> claim(Claim claim);
}
