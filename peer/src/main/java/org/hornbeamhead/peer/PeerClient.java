package org.hornbeamhead.peer;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.ListenableFuture;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.hornbeamhead.core.claim.Claim;
import org.hornbeamhead.core.claim.ClaimResult;
import org.hornbeamhead.core.config.ConfigRecord;
import org.hornbeamhead.core.settings.Addresses;
import org.hornbeamhead.peer.generated.ClaimEntry;
import org.hornbeamhead.peer.generated.ClaimIdsRequest;
import org.hornbeamhead.peer.generated.FetchConfigRequest;
import org.hornbeamhead.peer.generated.PeerGrpc;

/** Asks other routers. Owned by one thread, on which all answers arrive. */
public final class PeerClient {
    private static final long STOP_MILLIS = 500;
    private static final Duration CONFIG_LIMIT = Duration.ofSeconds(2);
    private static final Duration CLAIM_LIMIT = Duration.ofMillis(1_500);
    /** Connections are kept to so many peers at most; the one used longest ago is closed first. */
    private static final int CHANNEL_LIMIT = 32;

    private final Executor owner;
    private final EventLoopGroup threads = new NioEventLoopGroup(1);
    private final Map<String, ManagedChannel> channels = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Makes a client.
     *
     * @param owner runs what follows an answer on the owner's thread
     */
    public PeerClient(Executor owner) {
        this.owner = owner;
    }

    /**
     * Fetches the configuration's entries.
     *
     * @param peerAddress the router to ask
     * @param knownVersion the version known already
     * @return the entries after it; fails when the router does not answer, or one of them cannot be read
     */
    public CompletionStage<List<ConfigRecord>> configSince(String peerAddress, long knownVersion) {
        FetchConfigRequest request =
                FetchConfigRequest.newBuilder().setKnownVersion(knownVersion).build();
        return onOwner(stub(peerAddress, CONFIG_LIMIT).fetchConfig(request))
                .thenApply(reply ->
                        reply.getRecordsList().stream().map(PeerClient::record).toList());
    }

    private static ConfigRecord record(String text) {
        return ConfigRecord.read(text).getOrElseThrow(why -> new IllegalArgumentException(why));
    }

    /**
     * Claims an id through another router.
     *
     * @param peerAddress the router to ask
     * @param claim the claim
     * @return the result; a failure leaves it open, and the same claim may be tried elsewhere
     */
    public CompletionStage<ClaimResult> claim(String peerAddress, Claim claim) {
        ClaimIdsRequest request = ClaimIdsRequest.newBuilder()
                .addClaims(ClaimEntry.newBuilder()
                        .setIdHigh(claim.id().getMostSignificantBits())
                        .setIdLow(claim.id().getLeastSignificantBits())
                        .setAttempt(claim.attempt()))
                .build();
        return onOwner(stub(peerAddress, CLAIM_LIMIT).claimIds(request))
                .thenApply(
                        reply -> ClaimResult.valueOf(reply.getOutcomes(0).name().substring("CLAIM_OUTCOME_".length())));
    }

    private PeerGrpc.PeerFutureStub stub(String peerAddress, Duration limit) {
        ManagedChannel channel = channels.computeIfAbsent(peerAddress, this::open);
        if (channels.size() > CHANNEL_LIMIT) {
            String eldest = channels.keySet().iterator().next();
            channels.remove(eldest).shutdown();
        }
        return PeerGrpc.newFutureStub(channel).withDeadlineAfter(limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    private ManagedChannel open(String peerAddress) {
        InetSocketAddress address =
                Addresses.parse(peerAddress).getOrElseThrow((String why) -> new IllegalArgumentException(why));
        return NettyChannelBuilder.forAddress(address)
                .eventLoopGroup(threads)
                .channelType(NioSocketChannel.class)
                .directExecutor()
                .usePlaintext()
                .build();
    }

    private <T> CompletionStage<T> onOwner(ListenableFuture<T> call) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Futures.addCallback(
                call,
                new FutureCallback<>() {
                    @Override
                    public void onSuccess(T value) {
                        result.complete(value);
                    }

                    @Override
                    public void onFailure(Throwable e) {
                        result.completeExceptionally(e);
                    }
                },
                owner);
        return result;
    }

    /** Closes all connections. */
    public void stop() {
        channels.values().forEach(ManagedChannel::shutdownNow);
        threads.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(STOP_MILLIS);
    }
}
