package org.hornbeamhead.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.hornbeamhead.core.membership.GossipMessage;
import org.hornbeamhead.core.membership.GossipNode;
import org.hornbeamhead.core.membership.Member;
import org.hornbeamhead.core.membership.MemberStatus;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class GossipCodecTest {
    private static final int SAFE_DATAGRAM_BYTES = 1_200;

    private static Member member(int i) {
        return new Member(
                "255.255.255.25" + i + ":65535",
                "255.255.255.25" + i + ":65534",
                1_800_000_000_000L + i,
                MemberStatus.values()[i % MemberStatus.values().length]);
    }

    @DataProvider
    public Object[][] kinds() {
        return Arrays.stream(GossipMessage.Kind.values())
                .map(k -> new Object[] {k})
                .toArray(Object[][]::new);
    }

    private static GossipMessage message(GossipMessage.Kind kind) {
        List<Member> updates = IntStream.range(0, GossipNode.UPDATES_PER_MESSAGE)
                .mapToObj(GossipCodecTest::member)
                .toList();
        return new GossipMessage(kind, 77, member(1), "10.0.0.9:1", 13_000, updates);
    }

    @Test(dataProvider = "kinds")
    public void whatIsWrittenIsRead(GossipMessage.Kind kind) {
        byte[] bytes = GossipCodec.encode(message(kind));
        assertEquals(GossipCodec.decode(bytes), Optional.of(message(kind)));
        assertTrue(bytes.length < SAFE_DATAGRAM_BYTES, bytes.length + " bytes");
    }

    // Anything may arrive at an open port. It is read or dropped, and never throws.
    @Test
    public void garbledDatagramsAreDropped() {
        SplittableRandom random = new SplittableRandom(9);
        byte[] good = GossipCodec.encode(message(GossipMessage.Kind.PROBE));
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = Arrays.copyOf(good, random.nextInt(good.length + 20));
            for (int k = 0; k < random.nextInt(4) && bytes.length > 0; k++) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            }
            GossipCodec.decode(bytes);
        }
    }
}
