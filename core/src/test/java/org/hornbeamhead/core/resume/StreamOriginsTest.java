package org.hornbeamhead.core.resume;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what is remembered of streams, by whom, and the messages about them. */
public class StreamOriginsTest {
    private static final SoftwareVersion V1 = SoftwareVersion.named("v1");
    private static final SoftwareVersion V2 = SoftwareVersion.named("v2");

    private static StreamOrigin origin(int number) {
        return new StreamOrigin(StreamKey.of("s", "c", "request" + number), V1);
    }

    /** Guards against finding a stream by the request of another customer or service. */
    @Test
    public void streamIsFoundByServiceCustomerAndRequestOnly() {
        StreamKey key = StreamKey.of("s", "c", "r");
        assertEquals(StreamKey.of("s", "c", "r"), key);
        Stream.of(StreamKey.of("t", "c", "r"), StreamKey.of("s", "d", "r"), StreamKey.of("sc", "", "r"))
                .forEach(other -> assertNotEquals(other, key));
    }

    @Test
    public void originLastsForItsLifetimeSinceItWasNeededLast() {
        StreamOrigins origins = new StreamOrigins();
        origins.record(origin(1), 0);
        origins.record(origin(1), 1_000);
        long end = 1_000 + StreamOrigins.LIFETIME_MILLIS;
        assertEquals(origins.find(origin(1).key(), end - 1), Optional.of(V1));
        assertEquals(origins.find(origin(1).key(), end), Optional.empty());
    }

    /** Guards against an origin that changes while its stream may be resumed. */
    @Test
    public void firstOriginOfStreamIsKept() {
        StreamOrigins origins = new StreamOrigins();
        origins.record(origin(1), 0);
        origins.record(new StreamOrigin(origin(1).key(), V2), 1);
        assertEquals(origins.find(origin(1).key(), 2), Optional.of(V1));
    }

    /** Guards against memory that grows with the number of streams. */
    @Test
    public void oldestOriginsAreDroppedFirst() {
        StreamOrigins origins = new StreamOrigins();
        IntStream.rangeClosed(0, StreamOrigins.MAX_STREAMS).forEach(i -> origins.record(origin(i), i / 1_000));
        assertEquals(origins.size(), StreamOrigins.MAX_STREAMS);
        assertEquals(origins.find(origin(0).key(), 60), Optional.empty());
        assertEquals(origins.find(origin(StreamOrigins.MAX_STREAMS).key(), 60), Optional.of(V1));
        origins.record(origin(-1), 60 + StreamOrigins.LIFETIME_MILLIS);
        assertEquals(origins.size(), 1);
    }

    /** Guards against holders that nobody asks after a router has come or gone. */
    @Test
    public void holdersHardlyChangeWithTheListOfRouters() {
        List<String> routers =
                IntStream.range(0, 95).mapToObj(i -> "10.0.0." + i + ":80").toList();
        List<String> changed = new ArrayList<>(routers.subList(1, 95));
        changed.add("10.0.1.1:80");
        IntStream.range(0, 1_000).mapToObj(i -> origin(i).key()).forEach(key -> {
            List<String> told = OriginHolders.choose(key, routers, 3);
            List<String> asked = OriginHolders.choose(key, changed, 4);
            assertTrue(asked.containsAll(
                    told.stream().filter(r -> !r.equals(routers.get(0))).toList()));
        });
        long mostHeld = IntStream.range(0, 1_000)
                .mapToObj(i -> OriginHolders.choose(origin(i).key(), routers, 3))
                .filter(h -> h.contains(routers.get(7)))
                .count();
        assertTrue(mostHeld > 10 && mostHeld < 70, "held by one of 95: " + mostHeld);
    }

    @DataProvider
    public Object[][] messages() {
        List<StreamOrigin> many = IntStream.range(0, OriginMessage.MAX_ORIGINS)
                .mapToObj(StreamOriginsTest::origin)
                .toList();
        return new Object[][] {
            {new OriginMessage.Announcement(many.subList(0, 1))},
            {new OriginMessage.Announcement(many)},
            {new OriginMessage.Question(origin(1).key())},
            {new OriginMessage.Answer(origin(1).key(), Optional.of(V1))},
            {new OriginMessage.Answer(origin(1).key(), Optional.empty())},
        };
    }

    @Test(dataProvider = "messages")
    public void messageIsReadAsItWasWritten(OriginMessage message) {
        byte[] datagram = message.encode();
        assertEquals(OriginMessage.decode(datagram), Optional.of(message));
        assertEquals(OriginMessage.decode(Arrays.copyOf(datagram, datagram.length - 1)), Optional.empty());
        assertEquals(OriginMessage.decode(Arrays.copyOf(datagram, datagram.length + 3)), Optional.empty());
        datagram[0]++;
        assertEquals(OriginMessage.decode(datagram), Optional.empty());
    }
}
