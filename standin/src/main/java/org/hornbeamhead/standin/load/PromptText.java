package org.hornbeamhead.standin.load;

import java.util.SplittableRandom;
import net.openhft.hashing.LongHashFunction;

/** Makes texts of a given number of tokens, always the same for the same name. */
final class PromptText {
    private static final String LETTERS = "abcdefghijklmnopqrstuvwxyz";

    private PromptText() {}

    static String of(String name, int tokens) {
        SplittableRandom random = new SplittableRandom(LongHashFunction.xx3().hashChars(name));
        StringBuilder text = new StringBuilder(tokens * 4);
        for (int i = 0; i < tokens; i++) {
            text.append(LETTERS.charAt(random.nextInt(LETTERS.length())))
                    .append(LETTERS.charAt(random.nextInt(LETTERS.length())))
                    .append(LETTERS.charAt(random.nextInt(LETTERS.length())))
                    .append(' ');
        }
        return text.toString();
    }
}
