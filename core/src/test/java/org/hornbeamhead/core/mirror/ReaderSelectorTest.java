package org.hornbeamhead.core.mirror;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ReaderSelectorTest {
    private static final List<String> READERS = List.of("r1", "r2", "r3");

    private ReaderSelector selector;

    @BeforeMethod
    public void setUp() {
        selector = new ReaderSelector();
    }

    /**
     * Each reader that does not answer delays the router by one timeout. After two failures in a row the router must
     * read the store itself instead of trying further readers, so that its view does not become older.
     */
    @Test
    public void selectsStoreAfterTwoReaderFailures() {
        assertEquals(selector.select(READERS, 0), Optional.of("r1"));
        selector.recordFailure("r1", 0);
        assertEquals(selector.select(READERS, 0), Optional.of("r2"));
        selector.recordFailure("r2", 700);
        assertEquals(selector.select(READERS, 700), Optional.empty());
        assertEquals(selector.select(READERS, 2_000), Optional.of("r1"));
        assertTrue(selector.isFailing("r1"));
        selector.recordSuccess("r1");
        assertEquals(selector.select(READERS, 2_000), Optional.of("r1"));
    }

    /**
     * The router receives no changes while it tries an unreachable reader, so the retries must become less frequent.
     */
    @Test
    public void backoffDoublesForFailingReader() {
        long now = 0;
        for (long backoff : new long[] {2_000, 4_000, 8_000, 16_000, 16_000}) {
            selector.recordFailure("r9", now);
            assertEquals(selector.select(List.of("r9"), now + backoff - 1), Optional.empty());
            now += backoff;
            assertEquals(selector.select(List.of("r9"), now), Optional.of("r9"));
        }
    }

    /** A reader that left the list and is listed again is a new process, so its former failures must not count. */
    @Test
    public void readerListedAgainHasNoFailures() {
        selector.recordFailure("r1", 0);
        assertEquals(selector.select(List.of("r2"), 1), Optional.of("r2"));
        assertEquals(selector.select(READERS, 2), Optional.of("r1"));
    }
}
