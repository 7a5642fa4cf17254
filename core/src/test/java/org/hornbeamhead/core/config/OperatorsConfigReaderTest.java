package org.hornbeamhead.core.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.List;
import org.hornbeamhead.core.settings.Finding;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OperatorsConfigReaderTest {
    private static final String KEY = "0".repeat(64);
    private static final String VALID =
            """
            [fleet]
            name = bangkok
            time-zone = Asia/Bangkok
            [class counter]
            kind = interactive
            first-token = 400 ms
            [class review]
            kind = batch
            finish-by = 06:00
            [pool lm]
            kind = engine
            model = m
            weights = w1
            [pool app]
            kind = service
            not-repeatable = POST /letters
            [customer c]
            key-sha256 = %s
            classes = counter, review
            pools = lm, app
            """
                    .formatted(KEY);

    @Test
    public void validFileIsRead() {
        OperatorsConfig config = OperatorsConfigReader.read("f.ini", VALID).get();
        assertEquals(config.tightestFirstTokenMillis(), 400.0);
        assertTrue(config.pools().get("app").isNotRepeatable("POST", "/letters/7"));
        assertEquals(config.customerByKey(KEY).orElseThrow().name(), "c");
    }

    @DataProvider
    public Object[][] errors() {
        return new Object[][] {
            {"first-token = 400 ms", "first-token = 400", "f.ini:6: [class counter] first-token"},
            {"first-token = 400 ms", "first-token = 400 lightyears", "unknown unit"},
            {"first-token = 400 ms", "first-token = 400 ms\nfinish-by = 06:00", "f.ini:7: [class counter] finish-by"},
            {"first-token = 400 ms", "first-tokn = 400 ms", "unknown key"},
            {"first-token = 400 ms", "first-token = 400 ms\nweight = 3", "operators state targets"},
            {"model = m", "model = 10.0.0.1:80", "addresses come from the list of hosts"},
            {"[pool lm]", "[pol lm]", "unknown section"},
            {"finish-by = 06:00", "first-token = 1 s", "finish-by"},
            {"classes = counter, review", "classes = counter, revue", "'revue' is not defined"},
            {"time-zone = Asia/Bangkok", "time-zone = Asia/Bangkoc", "no time zone"},
            {KEY, "abc", "SHA-256"},
            {"kind = service", "kind = service\nweights = 1", "no weights"},
            {"[fleet]", "[fleet]\nname = twice", "stands twice"},
            {"kind = batch", "kind = batsh", "neither interactive nor batch"},
        };
    }

    @Test(dataProvider = "errors")
    public void eachErrorIsReportedWithItsLocation(String validText, String invalidText, String expected) {
        List<Finding> findings = OperatorsConfigReader.read("f.ini", VALID.replace(validText, invalidText))
                .getError();
        assertTrue(findings.stream().anyMatch(f -> f.render().contains(expected)), findings.toString());
    }

    @Test
    public void allFindingsAreReportedTogether() {
        String invalidText =
                VALID.replace("400 ms", "soon").replace("06:00", "early").replace("weights = w1", "");
        assertTrue(OperatorsConfigReader.read("f.ini", invalidText).getError().size() >= 3);
    }

    @DataProvider
    public Object[][] arrivalTimes() {
        return new Object[][] {
            {"2026-12-01T22:00:00+07:00[Asia/Bangkok]", Duration.ofHours(8)},
            {"2026-12-02T05:59:00+07:00[Asia/Bangkok]", Duration.ofMinutes(1)},
            {"2026-12-02T06:00:00+07:00[Asia/Bangkok]", Duration.ofHours(24)},
            {"2026-12-01T23:30:00Z", Duration.ofHours(23).plusMinutes(30)},
        };
    }

    @Test(dataProvider = "arrivalTimes")
    public void timeLeftEndsAtTheNextOccurrenceOfFinishBy(String now, Duration expected) {
        RequestClass review =
                OperatorsConfigReader.read("f.ini", VALID).get().classes().get("review");
        assertEquals(review.timeLeft(ZonedDateTime.parse(now), ZoneId.of("Asia/Bangkok")), expected);
    }
}
