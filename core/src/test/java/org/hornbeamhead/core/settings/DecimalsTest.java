package org.hornbeamhead.core.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Random;
import java.util.stream.DoubleStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a router that does not start because a number in its settings has many digits or an exponent. */
public class DecimalsTest {
    private static final long SEED = 32;
    private static final int RANDOM_NUMBERS = 10_000;

    @DataProvider
    public Object[][] validNumbers() {
        return new Object[][] {
            {"8", 8.0},
            {"8.0", 8.0},
            {"+0.2", 0.2},
            {"-3", -3.0},
            {"38.2608695652174", 38.2608695652174},
            {"37.096774193548384", 37.096774193548384},
            {"1e-05", 1e-5},
            {"1.0E10", 1e10},
            {"4.9E-324", 4.9e-324},
            {" 12 ", 12.0},
            {"0000000000000000001", 1.0},
        };
    }

    @Test(dataProvider = "validNumbers")
    public void readsNumbersAsThePlatformWritesThem(String text, double number) {
        assertEquals(Decimals.parse(text).get(), number);
    }

    @Test
    public void readsEveryDoubleInItsShortestForm() {
        Random random = new Random(SEED);
        DoubleStream.generate(() -> Double.longBitsToDouble(random.nextLong()))
                .filter(Double::isFinite)
                .limit(RANDOM_NUMBERS)
                .forEach(d -> assertEquals(Decimals.parse(Double.toString(d)).get(), d));
    }

    @DataProvider
    public Object[][] invalidNumbers() {
        return new Object[][] {
            {""},
            {"much"},
            {"NaN"},
            {"Infinity"},
            {"-Infinity"},
            {"1e999"},
            {"0x1p3"},
            {"1d"},
            {"1f"},
            {"1."},
            {".5"},
            {"1,5"},
            {"1e"},
            {"--1"},
            {"1 2"},
            {"1_000"},
            {"٣"},
            {"1".repeat(41)},
        };
    }

    @Test(dataProvider = "invalidNumbers")
    public void rejectsWhatIsNoDecimalNumber(String text) {
        assertTrue(Decimals.parse(text).isLeft(), text);
    }

    @Test
    public void numberOutOfBoundsIsRejectedWithTheBounds() {
        assertEquals(Decimals.parse("-1", 0, 10).getLeft(), "'-1' is not between 0 and 10");
        assertEquals(Decimals.parse("11", 0.5, 10).getLeft(), "'11' is not between 0.5 and 10");
    }

    @DataProvider
    public Object[][] wholeNumbers() {
        return new Object[][] {{"8", true}, {"8.0", true}, {"8e1", true}, {"8.5", false}, {"0", false}, {"1e12", false}
        };
    }

    @Test(dataProvider = "wholeNumbers")
    public void readsWholeNumbersWrittenAsDecimals(String text, boolean valid) {
        assertEquals(Decimals.parseWhole(text, 1, 1_000_000).isRight(), valid, text);
    }

    @DataProvider
    public Object[][] durations() {
        return new Object[][] {
            {"400 ms", Duration.ofMillis(400)},
            {"1500.5 ms", Duration.ofNanos(1_500_500_000)},
            {"2.5s", Duration.ofMillis(2_500)},
            {"8.0 s", Duration.ofSeconds(8)},
            {"1e3 ms", Duration.ofSeconds(1)},
            {"1.0E-1 s", Duration.ofMillis(100)},
            {"5min", Duration.ofMinutes(5)},
            {"1 h", Duration.ofHours(1)},
        };
    }

    @Test(dataProvider = "durations")
    public void readsDurationsWithFractions(String text, Duration duration) {
        assertEquals(Durations.parse(text).get(), duration);
    }

    @DataProvider
    public Object[][] invalidDurations() {
        return new Object[][] {
            {"8"}, {"s"}, {"-1 s"}, {"NaN s"}, {"1 d"}, {"1e9 s"}, {"999999999 h"}, {"1 s s"}, {"1e s"}
        };
    }

    @Test(dataProvider = "invalidDurations")
    public void rejectsWhatIsNoDuration(String text) {
        assertTrue(Durations.parse(text).isLeft(), text);
    }
}
