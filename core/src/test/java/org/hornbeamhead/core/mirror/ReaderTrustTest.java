package org.hornbeamhead.core.mirror;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ReaderTrustTest {
    private static final List<String> READERS = List.of("r1", "r2", "r3");

    private ReaderTrust trust;

    @BeforeMethod
    public void begin() {
        trust = new ReaderTrust();
    }

    /**
     * Two readers in a row do not answer, and each costs a time limit. The router turns to the store then, and not to
     * every other reader first: what it knows must not grow older.
     */
    @Test
    public void afterTwoFailuresTheStoreItselfIsRead() {
        assertEquals(trust.pick(READERS, 0), Optional.of("r1"));
        trust.failed("r1", 0);
        assertEquals(trust.pick(READERS, 0), Optional.of("r2"));
        trust.failed("r2", 700);
        assertEquals(trust.pick(READERS, 700), Optional.empty());
        assertEquals(trust.pick(READERS, 2_000), Optional.of("r1"));
        assertTrue(trust.isDoubted("r1"));
        trust.answered("r1");
        assertEquals(trust.pick(READERS, 2_000), Optional.of("r1"));
    }

    /** A reader behind a cut is tried ever more rarely: each try is time in which the router hears nothing. */
    @Test
    public void aReaderThatStaysLostIsTriedEverMoreRarely() {
        long now = 0;
        for (long pause : new long[] {2_000, 4_000, 8_000, 16_000, 16_000}) {
            trust.failed("r9", now);
            assertEquals(trust.pick(List.of("r9"), now + pause - 1), Optional.empty());
            now += pause;
            assertEquals(trust.pick(List.of("r9"), now), Optional.of("r9"));
        }
    }

    /** A reader that left the list and comes back is another process: nothing is held against it. */
    @Test
    public void aReaderThatWasReplacedIsTrustedAgain() {
        trust.failed("r1", 0);
        assertEquals(trust.pick(List.of("r2"), 1), Optional.of("r2"));
        assertEquals(trust.pick(READERS, 2), Optional.of("r1"));
    }
}
