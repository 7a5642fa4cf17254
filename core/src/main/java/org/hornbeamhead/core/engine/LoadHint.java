package org.hornbeamhead.core.engine;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One router's work, as sent to the other routers in one datagram. Replicas are identified by a hash of their ids.
 *
 * @param requestsPerSecond the rate of requests that the router receives from callers
 * @param replicaLoads the router's work at each replica now; replicas without work are left out
 * @param sentRequests the requests that it sent since the last hint
 */
public record LoadHint(int requestsPerSecond, List<ReplicaLoad> replicaLoads, List<SentRequest> sentRequests) {
    /** As many entries as fit into one datagram on any path. */
    private static final int MAX_REPLICA_LOADS = 60;

    private static final int MAX_SENT_REQUESTS = 55;

    private static final byte FORMAT_VERSION = 4;
    private static final int HEADER_BYTES = 5;
    private static final int REPLICA_LOAD_BYTES = 9;
    private static final int SENT_REQUEST_BYTES = 16;
    /** Memory is encoded in blocks of this many tokens, so that two bytes hold it. */
    private static final int BLOCK_TOKENS = 16;

    private static final int MAX_UNSIGNED_BYTE = 255;
    private static final int MAX_UNSIGNED_SHORT = 65_535;

    /**
     * A router's work at one replica.
     *
     * @param replica a hash of its id
     * @param running the number of requests that have not ended
     * @param longAnswers the number of those with long answers
     * @param memoryTokens the tokens that they take
     */
    public record ReplicaLoad(int replica, int running, int longAnswers, int memoryTokens) {}

    /**
     * A request that was sent to a replica.
     *
     * @param replica a hash of the replica's id
     * @param prefixHash a hash of the shared prefix with its salt
     * @param prefillMillis the predicted prefill time of the request, in milliseconds
     * @param storeMillis how long its fetch occupies the link of the KV store, in milliseconds
     */
    public record SentRequest(int replica, long prefixHash, int prefillMillis, int storeMillis) {}

    /** Truncates the lists to what fits into one datagram. */
    public LoadHint {
        replicaLoads = replicaLoads.stream().limit(MAX_REPLICA_LOADS).toList();
        sentRequests = sentRequests.stream().limit(MAX_SENT_REQUESTS).toList();
    }

    /**
     * Encodes the hint.
     *
     * @return the datagram
     */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(
                HEADER_BYTES + replicaLoads.size() * REPLICA_LOAD_BYTES + sentRequests.size() * SENT_REQUEST_BYTES);
        out.put(FORMAT_VERSION)
                .putShort(toUnsignedShort(requestsPerSecond))
                .put((byte) replicaLoads.size())
                .put((byte) sentRequests.size());
        replicaLoads.forEach(load -> out.putInt(load.replica())
                .putShort(toUnsignedShort(load.running()))
                .put((byte) Math.min(MAX_UNSIGNED_BYTE, load.longAnswers()))
                .putShort(toUnsignedShort(load.memoryTokens() / BLOCK_TOKENS)));
        sentRequests.forEach(sent -> out.putInt(sent.replica())
                .putLong(sent.prefixHash())
                .putShort(toUnsignedShort(sent.prefillMillis()))
                .putShort(toUnsignedShort(sent.storeMillis())));
        return out.array();
    }

    private static short toUnsignedShort(int value) {
        return (short) Math.max(0, Math.min(MAX_UNSIGNED_SHORT, value));
    }

    /**
     * Decodes a hint.
     *
     * @param datagram the datagram
     * @return the hint, empty when the bytes are not a valid one
     */
    public static Optional<LoadHint> decode(byte[] datagram) {
        ByteBuffer in = ByteBuffer.wrap(datagram);
        if (in.remaining() < HEADER_BYTES || in.get() != FORMAT_VERSION) {
            return Optional.empty();
        }
        int rate = in.getShort() & MAX_UNSIGNED_SHORT;
        int loadCount = in.get() & 0xff;
        int sentCount = in.get() & 0xff;
        if (in.remaining() != loadCount * REPLICA_LOAD_BYTES + sentCount * SENT_REQUEST_BYTES) {
            return Optional.empty();
        }
        List<ReplicaLoad> loads = new ArrayList<>(loadCount);
        for (int i = 0; i < loadCount; i++) {
            loads.add(new ReplicaLoad(
                    in.getInt(),
                    in.getShort() & MAX_UNSIGNED_SHORT,
                    in.get() & MAX_UNSIGNED_BYTE,
                    (in.getShort() & MAX_UNSIGNED_SHORT) * BLOCK_TOKENS));
        }
        List<SentRequest> sent = new ArrayList<>(sentCount);
        for (int i = 0; i < sentCount; i++) {
            sent.add(new SentRequest(
                    in.getInt(), in.getLong(), in.getShort() & MAX_UNSIGNED_SHORT, in.getShort() & MAX_UNSIGNED_SHORT));
        }
        return Optional.of(new LoadHint(rate, loads, sent));
    }
}
