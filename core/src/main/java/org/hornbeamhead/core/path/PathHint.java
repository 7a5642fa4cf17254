package org.hornbeamhead.core.path;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * What a router tells other routers about the services to which it has no path, in one datagram. Each hint replaces the
 * one before it, so that lost, repeated and reordered hints do no harm.
 *
 * @param life a random number that identifies one run of the router
 * @param sequence the number of the hint in that run
 * @param lostServices hashes of the names of the services
 */
public record PathHint(long life, int sequence, Set<Integer> lostServices) {
    /** As many services as fit into one datagram on any path. */
    public static final int MAX_SERVICES = 255;

    /** The first byte; no other datagram between routers starts with it. */
    private static final byte FORMAT_MARKER = (byte) 0xCD;

    private static final int HEADER_BYTES = 14;
    private static final int SERVICE_BYTES = 4;
    private static final int MAX_UNSIGNED_BYTE = 0xff;

    /** Copies the services, of which at most {@value #MAX_SERVICES} fit. */
    public PathHint {
        lostServices = lostServices.stream().limit(MAX_SERVICES).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the hash by which hints name a service.
     *
     * @param name the name of the service
     * @return the hash
     */
    public static int serviceHash(String name) {
        return name.hashCode();
    }

    /**
     * Encodes the hint.
     *
     * @return the datagram
     */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + lostServices.size() * SERVICE_BYTES);
        out.put(FORMAT_MARKER).putLong(life).putInt(sequence).put((byte) lostServices.size());
        lostServices.forEach(out::putInt);
        return out.array();
    }

    /**
     * Decodes a hint.
     *
     * @param datagram the datagram
     * @return the hint, empty if the bytes are not a valid one
     */
    public static Optional<PathHint> decode(byte[] datagram) {
        if (datagram.length < HEADER_BYTES || datagram[0] != FORMAT_MARKER) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 1, datagram.length - 1);
        long life = in.getLong();
        int sequence = in.getInt();
        int count = in.get() & MAX_UNSIGNED_BYTE;
        if (in.remaining() != count * SERVICE_BYTES) {
            return Optional.empty();
        }
        Set<Integer> services =
                IntStream.range(0, count).mapToObj(i -> in.getInt()).collect(Collectors.toSet());
        return Optional.of(new PathHint(life, sequence, services));
    }
}
