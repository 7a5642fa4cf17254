package org.hornbeamhead.peer;

import io.grpc.Server;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioServerSocketChannel;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.hornbeamhead.core.claim.Claim;
import org.hornbeamhead.core.claim.ClaimResult;
import org.hornbeamhead.core.config.ConfigRecord;
import org.hornbeamhead.peer.generated.ClaimIdsReply;
import org.hornbeamhead.peer.generated.ClaimIdsRequest;
import org.hornbeamhead.peer.generated.ClaimOutcome;
import org.hornbeamhead.peer.generated.FetchConfigReply;
import org.hornbeamhead.peer.generated.FetchConfigRequest;
import org.hornbeamhead.peer.generated.PeerGrpc;

/** Serves other routers. */
public final class PeerServer {
    private static final long STOP_MILLIS = 500;

    private final Server server;
    private final EventLoopGroup threads = new NioEventLoopGroup(1);

    /**
     * Starts to listen.
     *
     * @param address where; port 0 takes a free one
     * @param handler answers
     * @throws IOException when the address cannot be bound
     */
    public PeerServer(InetSocketAddress address, PeerHandler handler) throws IOException {
        this.server = NettyServerBuilder.forAddress(address)
                .bossEventLoopGroup(threads)
                .workerEventLoopGroup(threads)
                .channelType(NioServerSocketChannel.class)
                .directExecutor()
                .addService(new Service(handler))
                .build()
                .start();
    }

    /**
     * Returns the port it listens at.
     *
     * @return the port
     */
    public int port() {
        return server.getPort();
    }

    /** Stops. */
    public void stop() {
        server.shutdownNow();
        threads.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(STOP_MILLIS);
    }

    private static final class Service extends PeerGrpc.PeerImplBase {
        private final PeerHandler handler;

        Service(PeerHandler handler) {
            this.handler = handler;
        }

        @Override
        public void fetchConfig(FetchConfigRequest request, StreamObserver<FetchConfigReply> observer) {
            CompletionStage<FetchConfigReply> reply = handler.configSince(request.getKnownVersion())
                    .thenApply(records -> FetchConfigReply.newBuilder()
                            .addAllRecords(
                                    records.stream().map(ConfigRecord::format).toList())
                            .build());
            answer(reply, observer);
        }

        @Override
        public void claimIds(ClaimIdsRequest request, StreamObserver<ClaimIdsReply> observer) {
            List<CompletableFuture<ClaimResult>> results = request.getClaimsList().stream()
                    .map(e -> new Claim(new UUID(e.getIdHigh(), e.getIdLow()), e.getAttempt()))
                    .map(c -> handler.claim(c).toCompletableFuture())
                    .toList();
            CompletionStage<ClaimIdsReply> reply = CompletableFuture.allOf(results.toArray(new CompletableFuture<?>[0]))
                    .thenApply(v -> ClaimIdsReply.newBuilder()
                            .addAllOutcomes(results.stream()
                                    .map(r -> ClaimOutcome.valueOf(
                                            "CLAIM_OUTCOME_" + r.join().name()))
                                    .toList())
                            .build());
            answer(reply, observer);
        }

        private static <T> void answer(CompletionStage<T> reply, StreamObserver<T> observer) {
            reply.whenComplete((value, e) -> {
                if (e != null) {
                    observer.onError(Status.INTERNAL.withCause(e).asException());
                } else {
                    observer.onNext(value);
                    observer.onCompleted();
                }
            });
        }
    }
}
