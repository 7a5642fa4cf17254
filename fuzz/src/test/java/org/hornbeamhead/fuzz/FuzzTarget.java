package org.hornbeamhead.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/**
 * A reader of bytes that others wrote.
 *
 * @param name its name
 * @param reader fails when it does what it must not do with any input
 * @param seeds inputs that it takes, a character a byte
 */
record FuzzTarget(String name, Consumer<byte[]> reader, List<String> seeds) {
    List<byte[]> seedBytes() {
        return seeds.stream().map(s -> s.getBytes(StandardCharsets.ISO_8859_1)).toList();
    }

    @Override
    public String toString() {
        return name;
    }
}
