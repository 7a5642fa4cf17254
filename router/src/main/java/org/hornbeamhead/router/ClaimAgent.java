package org.hornbeamhead.router;

import java.security.SecureRandom;
import java.util.Collection;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamhead.core.claim.Claim;
import org.hornbeamhead.core.claim.ClaimBatcher;
import org.hornbeamhead.core.claim.ClaimResult;
import org.hornbeamhead.core.claim.ClaimStoreConfig;
import org.hornbeamhead.core.placement.ReplicaRing;
import org.hornbeamhead.peer.PeerClient;

/**
 * Claims ids through the router that writes their partition, so that the claims of all routers meet in few writes.
 * Which router that is matters for the cost alone: when it cannot be reached, the claim is written from here, with the
 * same attempt number, and the platform's compare-and-swap decides.
 */
final class ClaimAgent {
    private final ClaimBatcher batcher;
    private final PeerClient peers;
    private final SecureRandom random = new SecureRandom();
    private final String self;
    private ReplicaRing ring;

    ClaimAgent(ClaimBatcher batcher, PeerClient peers, String selfPeerAddress) {
        this.batcher = batcher;
        this.peers = peers;
        this.self = selfPeerAddress;
        this.ring = ReplicaRing.of(List.of(selfPeerAddress));
    }

    /** Takes over the routers that serve. */
    void serving(Collection<String> peerAddresses) {
        ring = ring.withReplicas(peerAddresses);
    }

    CompletionStage<ClaimResult> claim(UUID id) {
        Claim claim = new Claim(id, random.nextLong());
        String owner = ring.walk(ClaimStoreConfig.STANDARD.partitionOf(claim), 1).stream()
                .findFirst()
                .orElse(self);
        if (owner.equals(self)) {
            return batcher.claim(claim);
        }
        return peers.claim(owner, claim)
                .handle((result, e) -> e == null && result != ClaimResult.UNAVAILABLE
                        ? CompletableFuture.completedStage(result)
                        : batcher.claim(claim))
                .thenCompose(stage -> stage);
    }

    /** Writes a claim that another router passed on. */
    CompletionStage<ClaimResult> claimFor(Claim claim) {
        return batcher.claim(claim);
    }
}
