package org.hornbeamhead.core.engine;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What a router tells the others of its work, in one datagram. Replicas are named by a hash of their ids.
 *
 * @param requestsPerSecond the requests that callers send it
 * @param totals what the router has at each replica now; replicas without work are left out
 * @param sends the requests that it sent since the last hint
 */
public record WorkHint(int requestsPerSecond, List<Total> totals, List<Send> sends) {
    /** What fits into one datagram on any path. */
    private static final int MAX_TOTALS = 60;

    private static final int MAX_SENDS = 55;

    private static final byte FORMAT = 4;
    private static final int HEAD_BYTES = 5;
    private static final int TOTAL_BYTES = 9;
    private static final int SEND_BYTES = 16;
    /** Memory is told in blocks, so that two bytes hold it. */
    private static final int BLOCK_TOKENS = 16;

    private static final int MAX_BYTE = 255;
    private static final int MAX_SHORT = 65_535;

    /**
     * Work at one replica.
     *
     * @param replica a hash of its id
     * @param running requests that have not ended
     * @param longAnswers those of them with long answers
     * @param memoryTokens the tokens that they take
     */
    public record Total(int replica, int running, int longAnswers, int memoryTokens) {}

    /**
     * A request that was sent.
     *
     * @param replica a hash of the replica's id
     * @param beginning a hash of the shared beginning with its salt
     * @param readMillis the predicted time that the engine reads for it, in milliseconds
     * @param storeMillis how long the link of the store beside the engines is busy with it, in milliseconds
     */
    public record Send(int replica, long beginning, int readMillis, int storeMillis) {}

    /** Keeps what fits into one datagram. */
    public WorkHint {
        totals = totals.stream().limit(MAX_TOTALS).toList();
        sends = sends.stream().limit(MAX_SENDS).toList();
    }

    /**
     * Writes the hint.
     *
     * @return the datagram
     */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEAD_BYTES + totals.size() * TOTAL_BYTES + sends.size() * SEND_BYTES);
        out.put(FORMAT)
                .putShort(unsigned(requestsPerSecond))
                .put((byte) totals.size())
                .put((byte) sends.size());
        totals.forEach(t -> out.putInt(t.replica())
                .putShort(unsigned(t.running()))
                .put((byte) Math.min(MAX_BYTE, t.longAnswers()))
                .putShort(unsigned(t.memoryTokens() / BLOCK_TOKENS)));
        sends.forEach(s -> out.putInt(s.replica())
                .putLong(s.beginning())
                .putShort(unsigned(s.readMillis()))
                .putShort(unsigned(s.storeMillis())));
        return out.array();
    }

    private static short unsigned(int value) {
        return (short) Math.max(0, Math.min(MAX_SHORT, value));
    }

    /**
     * Reads a hint.
     *
     * @param datagram the datagram
     * @return the hint, empty when the bytes are none
     */
    public static Optional<WorkHint> decode(byte[] datagram) {
        ByteBuffer in = ByteBuffer.wrap(datagram);
        if (in.remaining() < HEAD_BYTES || in.get() != FORMAT) {
            return Optional.empty();
        }
        int rate = in.getShort() & MAX_SHORT;
        int totals = in.get() & 0xff;
        int sends = in.get() & 0xff;
        if (in.remaining() != totals * TOTAL_BYTES + sends * SEND_BYTES) {
            return Optional.empty();
        }
        List<Total> t = new ArrayList<>(totals);
        for (int i = 0; i < totals; i++) {
            t.add(new Total(
                    in.getInt(),
                    in.getShort() & MAX_SHORT,
                    in.get() & MAX_BYTE,
                    (in.getShort() & MAX_SHORT) * BLOCK_TOKENS));
        }
        List<Send> s = new ArrayList<>(sends);
        for (int i = 0; i < sends; i++) {
            s.add(new Send(in.getInt(), in.getLong(), in.getShort() & MAX_SHORT, in.getShort() & MAX_SHORT));
        }
        return Optional.of(new WorkHint(rate, t, s));
    }
}
