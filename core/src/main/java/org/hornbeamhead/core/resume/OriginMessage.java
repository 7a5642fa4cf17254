package org.hornbeamhead.core.resume;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

/** What routers tell and ask one another about the origins of streams, each in one datagram. */
public sealed interface OriginMessage {
    /** As many origins as fit into one datagram on any path. */
    int MAX_ORIGINS = 80;

    /** The first byte; no other datagram between routers starts with it. */
    byte FORMAT_MARKER = (byte) 0xD1;

    /**
     * Tells which software began streams.
     *
     * @param origins the streams
     */
    record Announcement(List<StreamOrigin> origins) implements OriginMessage {
        /** Copies the origins, of which at most {@value #MAX_ORIGINS} fit. */
        public Announcement {
            origins = origins.stream().limit(MAX_ORIGINS).toList();
        }

        @Override
        public byte[] encode() {
            return OriginMessageFormat.encode(
                    OriginMessageFormat.ANNOUNCEMENT,
                    origins.stream()
                            .flatMapToLong(o ->
                                    LongStream.of(o.key().value(), o.software().value())));
        }
    }

    /**
     * Asks which software began a stream.
     *
     * @param key the stream
     */
    record Question(StreamKey key) implements OriginMessage {
        @Override
        public byte[] encode() {
            return OriginMessageFormat.encode(OriginMessageFormat.QUESTION, LongStream.of(key.value()));
        }
    }

    /**
     * Answers a question.
     *
     * @param key the stream
     * @param software the version that began it, empty if the router does not know
     */
    record Answer(StreamKey key, Optional<SoftwareVersion> software) implements OriginMessage {
        @Override
        public byte[] encode() {
            LongStream version = software.stream().mapToLong(SoftwareVersion::value);
            return OriginMessageFormat.encode(
                    OriginMessageFormat.ANSWER, LongStream.concat(LongStream.of(key.value()), version));
        }
    }

    /**
     * Encodes the message.
     *
     * @return the datagram
     */
    byte[] encode();

    /**
     * Decodes a message.
     *
     * @param datagram the datagram
     * @return the message, empty if the bytes are not a valid one
     */
    static Optional<OriginMessage> decode(byte[] datagram) {
        return OriginMessageFormat.decode(datagram);
    }
}
