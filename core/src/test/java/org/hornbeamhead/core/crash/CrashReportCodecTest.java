package org.hornbeamhead.core.crash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests the binary encoding of crash reports. */
public class CrashReportCodecTest {
    private static final CrashReport REPORT = new CrashReport(
            Fingerprints.content(-7).content(),
            List.of(new CrashReport.Crash(-1, 0, 65_535, false), new CrashReport.Crash(5, 7_200_000, 3, true)));

    @Test
    public void encodedReportsAreDecodedUnchanged() {
        List<CrashReport> all =
                List.of(REPORT, new CrashReport(Fingerprints.content(8).content(), List.of()));
        assertEquals(CrashReportCodec.decode(CrashReportCodec.encode(all)).orElseThrow(), all);
    }

    /** Routers that know contents only must not take a prompt part for a content. */
    @Test
    public void kindsOfFeaturesAreToldApartByTheFirstByte() {
        CrashReport part = new CrashReport(CrashFeature.promptPart("ab"), REPORT.crashes());
        byte[] encoded = CrashReportCodec.encode(List.of(part));
        assertEquals(CrashReportCodec.decode(encoded).orElseThrow(), List.of(part));
        assertNotEquals(encoded[0], CrashReportCodec.encode(List.of(REPORT))[0]);
        assertTrue(CrashReportCodec.hasFormatMarker(encoded));
    }

    /** Truncated, damaged and foreign datagrams must be rejected without an exception. */
    @Test
    public void malformedBytesAreRejected() {
        byte[] valid = CrashReportCodec.encode(List.of(REPORT));
        assertTrue(CrashReportCodec.decode(new byte[0]).isEmpty());
        IntStream.range(0, valid.length)
                .forEach(n -> assertTrue(
                        CrashReportCodec.decode(Arrays.copyOf(valid, n)).isEmpty()));
        Random random = new Random(1);
        IntStream.range(0, 2_000).forEach(i -> {
            byte[] bytes = new byte[random.nextInt(64)];
            random.nextBytes(bytes);
            CrashReportCodec.decode(bytes);
        });
    }

    /** Datagrams that are too long would not be delivered. */
    @Test
    public void limitsReportsToTheDatagramSize() {
        List<CrashReport> reports =
                IntStream.range(0, 500).mapToObj(i -> REPORT).toList();
        List<CrashReport> selected = CrashReportCodec.limitToSize(reports, CrashReportCodec.MAX_DATAGRAM_BYTES);
        int bytes = CrashReportCodec.encode(selected).length;
        assertTrue(
                bytes <= CrashReportCodec.MAX_DATAGRAM_BYTES && bytes > CrashReportCodec.MAX_DATAGRAM_BYTES - 30,
                bytes + " bytes");
    }
}
