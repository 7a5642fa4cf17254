package org.hornbeamhead.fuzz;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Damaged inputs before all readers of foreign bytes: they report, and never throw. */
public class ReadersTest {
    private static final int INPUTS = 10_000;

    @DataProvider
    public Object[][] targets() {
        return FuzzTargets.ALL.stream().map(t -> new Object[] {t}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "targets")
    public void takesDamagedInputs(FuzzTarget target) {
        Mutations mutations = new Mutations(target.name().hashCode());
        List<byte[]> seeds = target.seedBytes();
        seeds.forEach(seed -> read(target, seed));
        IntStream.range(0, INPUTS).forEach(i -> read(target, mutations.of(seeds.get(i % seeds.size()))));
    }

    /** The inputs that a reader once failed at, a line each in the target's file. */
    @Test(dataProvider = "targets")
    public void takesInputsThatItOnceFailedAt(FuzzTarget target) throws IOException {
        try (InputStream kept = ReadersTest.class.getResourceAsStream(target.name() + ".txt")) {
            if (kept != null) {
                new String(kept.readAllBytes(), StandardCharsets.UTF_8)
                        .lines()
                        .forEach(line -> read(target, Base64.getDecoder().decode(line)));
            }
        }
    }

    private static void read(FuzzTarget target, byte[] input) {
        try {
            target.reader().accept(input);
        } catch (RuntimeException | AssertionError e) {
            throw new AssertionError(target + " fails at " + Base64.getEncoder().encodeToString(input), e);
        }
    }
}
