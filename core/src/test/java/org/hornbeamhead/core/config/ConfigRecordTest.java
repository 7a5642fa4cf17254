package org.hornbeamhead.core.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigRecordTest {
    @DataProvider
    public Object[][] records() {
        return new Object[][] {
            {new ConfigRecord(1, "id", "nok", 5, "first", Optional.of("[fleet]\nname = a\n"), List.of())},
            {new ConfigRecord(2, "id", "nok", 5, "", Optional.empty(), List.of())},
            {
                new ConfigRecord(
                        3,
                        "id",
                        "nok",
                        5,
                        "two: things",
                        Optional.empty(),
                        List.of(
                                new SectionChange(
                                        "customer set 3", Optional.of("[customer set 3]\nset 9 = remove x\n\n")),
                                new SectionChange("class gone", Optional.empty()),
                                new SectionChange("", Optional.of("; the head\n"))))
            },
        };
    }

    @Test(dataProvider = "records")
    public void formattedRecordIsParsedToAnEqualRecord(ConfigRecord record) {
        assertEquals(ConfigRecord.read(record.format()).get(), record);
    }

    @DataProvider
    public Object[][] edits() {
        return new Object[][] {
            {"[a]\nx = 1\n[b]\ny = 1\n", "[a]\nx = 2\n[b]\ny = 1\n", 1},
            {"[a]\nx = 1\n[b]\ny = 1\n", "[b]\ny = 1\n", 1},
            {"[a]\nx = 1\n", "[a]\nx = 1\n[c]\nz = 1\n", 1},
            {"", "[a]\nx = 1\n", 1},
            {"[a]\nx = 1\n", "[a]\nx = 1\n", 0},
        };
    }

    @Test(dataProvider = "edits")
    public void applyingChangesGivesTheLaterText(String before, String after, int count) {
        ConfigDocument base = ConfigDocument.of(before);
        List<SectionChange> changes = base.changesTo(ConfigDocument.of(after)).orElseThrow();
        assertEquals(changes.size(), count);
        assertEquals(base.apply(changes).text(), after);
    }

    @Test
    public void reorderedSectionsCannotBeExpressedAsChanges() {
        ConfigDocument base = ConfigDocument.of("[a]\nx = 1\n[b]\ny = 1\n");
        assertTrue(base.changesTo(ConfigDocument.of("[b]\ny = 1\n[a]\nx = 1\n")).isEmpty());
    }

    @DataProvider
    public Object[][] damaged() {
        return new Object[][] {
            {""},
            {"version: 2\n\n"},
            {"version: 2\nversion: 3\n\n"},
            {"version: 2\ntime: 5\nkind: edit\n\nset 9 x\ny\n"},
        };
    }

    /** Guards against a damaged entry that stops reading without an error. */
    @Test(dataProvider = "damaged")
    public void damagedEntryIsReportedAsAnError(String text) {
        assertTrue(ConfigRecord.read(text).isLeft());
    }
}
