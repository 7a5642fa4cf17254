package org.hornbeamhead.core.crash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** The bytes of crash reports. */
public class CrashNewsTest {
    private static final CrashReport REPORT = new CrashReport(
            new RequestFingerprint(-7),
            List.of(new CrashReport.Crash(-1, 0, 65_535, false), new CrashReport.Crash(5, 7_200_000, 3, true)));

    @Test
    public void whatIsWrittenIsRead() {
        List<CrashReport> all = List.of(REPORT, new CrashReport(new RequestFingerprint(8), List.of()));
        assertEquals(CrashNews.decode(CrashNews.encode(all)).orElseThrow(), all);
    }

    /** Guards against datagrams of others, cut ones and damaged ones. */
    @Test
    public void otherBytesAreNoNews() {
        byte[] sound = CrashNews.encode(List.of(REPORT));
        assertTrue(CrashNews.decode(new byte[0]).isEmpty());
        IntStream.range(0, sound.length)
                .forEach(n ->
                        assertTrue(CrashNews.decode(Arrays.copyOf(sound, n)).isEmpty()));
        Random random = new Random(1);
        IntStream.range(0, 2_000).forEach(i -> {
            byte[] bytes = new byte[random.nextInt(64)];
            random.nextBytes(bytes);
            CrashNews.decode(bytes);
        });
    }

    /** Guards against datagrams that do not arrive because they are too long. */
    @Test
    public void takesWhatFits() {
        List<CrashReport> many = IntStream.range(0, 500).mapToObj(i -> REPORT).toList();
        List<CrashReport> some = CrashNews.fitting(many, CrashNews.DATAGRAM_BYTES);
        int bytes = CrashNews.encode(some).length;
        assertTrue(bytes <= CrashNews.DATAGRAM_BYTES && bytes > CrashNews.DATAGRAM_BYTES - 30, bytes + " bytes");
    }
}
