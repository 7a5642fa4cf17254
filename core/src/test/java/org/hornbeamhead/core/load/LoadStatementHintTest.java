package org.hornbeamhead.core.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LoadStatementHintTest {
    private static final LoadStatementHint.Entry ENTRY =
            new LoadStatementHint.Entry(-7, new LoadStatement(5, 2, 6, OptionalInt.of(250)), 60, 20);
    private static final byte[] ENCODED = new LoadStatementHint(List.of(ENTRY)).encode();

    private static byte[] with(int offset, int value) {
        byte[] bytes = ENCODED.clone();
        bytes[offset] = (byte) value;
        return bytes;
    }

    @Test
    public void longestHintFitsIntoOneDatagram() {
        LoadStatementHint hint = new LoadStatementHint(Collections.nCopies(LoadStatementHint.MAX_ENTRIES, ENTRY));
        assertTrue(hint.encode().length <= 1_200, hint.encode().length + " bytes");
        assertEquals(LoadStatementHint.decode(hint.encode()), Optional.of(hint));
    }

    @DataProvider
    public Object[][] damaged() {
        return new Object[][] {
            {"nothing", new byte[0]},
            {"marker only", Arrays.copyOf(ENCODED, 1)},
            {"cut", Arrays.copyOf(ENCODED, ENCODED.length - 1)},
            {"longer", Arrays.copyOf(ENCODED, ENCODED.length + 1)},
            {"other marker", with(0, 0xD5)},
            {"higher count", with(1, 2)},
            {"answered before requested", with(8, 1)},
            {"no slots", with(15, 0)},
            {"pace above the highest", with(16, 0xFF)}
        };
    }

    /** Guards against an exception, or an invented pace, in a router that receives damaged bytes. */
    @Test(dataProvider = "damaged")
    public void damagedBytesAreIgnored(String damage, byte[] bytes) {
        assertEquals(LoadStatementHint.decode(bytes), Optional.empty(), damage);
    }
}
