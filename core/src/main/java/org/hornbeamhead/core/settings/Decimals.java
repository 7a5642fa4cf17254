package org.hornbeamhead.core.settings;

import io.vavr.control.Either;
import java.util.regex.Pattern;

/** Parses decimal numbers such as {@code 8}, {@code 38.2608695652174} or {@code 1.5e-05}. */
public final class Decimals {
    /** Allows every finite double in its shortest form, and bounds the work for each text. */
    private static final int MAX_LENGTH = 40;

    private static final Pattern FORMAT = Pattern.compile("[+-]?\\d+(\\.\\d+)?([eE][+-]?\\d{1,3})?");

    private Decimals() {}

    /**
     * Parses a number.
     *
     * @param text the number in decimal digits, optionally with a sign, a fraction and an exponent
     * @return the number, always finite, or a message that says why the text is invalid
     */
    public static Either<String, Double> parse(String text) {
        String t = text.trim();
        if (t.length() > MAX_LENGTH || !FORMAT.matcher(t).matches()) {
            return Either.left("'" + text + "' is not a decimal number such as 12, 0.25 or 1.5e-05");
        }
        double number = Double.parseDouble(t);
        return Double.isFinite(number)
                ? Either.right(number)
                : Either.left("'" + text + "' is larger than " + Double.MAX_VALUE);
    }

    /**
     * Parses a number within bounds.
     *
     * @param text the text
     * @param min the lowest valid number
     * @param max the highest valid number
     * @return the number, or a message that says why the text is invalid
     */
    public static Either<String, Double> parse(String text, double min, double max) {
        return parse(text)
                .flatMap(d -> d >= min && d <= max
                        ? Either.right(d)
                        : Either.left("'" + text + "' is not between " + format(min) + " and " + format(max)));
    }

    /**
     * Parses a whole number, which may be written with a fraction of zero.
     *
     * @param text the text
     * @param min the lowest valid number
     * @param max the highest valid number
     * @return the number, or a message that says why the text is invalid
     */
    public static Either<String, Integer> parseWhole(String text, int min, int max) {
        return parse(text, min, max)
                .flatMap(d -> d == Math.rint(d)
                        ? Either.right(d.intValue())
                        : Either.left("'" + text + "' is not a whole number"));
    }

    private static String format(double bound) {
        return bound == Math.rint(bound) && Math.abs(bound) < Long.MAX_VALUE
                ? Long.toString((long) bound)
                : Double.toString(bound);
    }
}
