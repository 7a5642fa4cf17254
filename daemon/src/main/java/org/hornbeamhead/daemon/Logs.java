package org.hornbeamhead.daemon;

import com.google.common.flogger.MetadataKey;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.Locale;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** The fields that log lines carry beside their message, and the choice of Flogger's back end. */
public final class Logs {
    /** The request's id. */
    public static final MetadataKey<String> REQUEST = MetadataKey.single("request", String.class);
    /** The customer's name. */
    public static final MetadataKey<String> CUSTOMER = MetadataKey.single("customer", String.class);
    /** The class of work. */
    public static final MetadataKey<String> CLASS = MetadataKey.single("class", String.class);
    /** The attempt, counted from 1. */
    public static final MetadataKey<Integer> ATTEMPT = MetadataKey.single("attempt", Integer.class);
    /** The replica's address. */
    public static final MetadataKey<String> REPLICA = MetadataKey.single("replica", String.class);
    /** What was decided. */
    public static final MetadataKey<String> DECISION = MetadataKey.single("decision", String.class);
    /** Why it was decided. */
    public static final MetadataKey<String> REASON = MetadataKey.single("reason", String.class);

    /** The inputs of a decision, with their age or version. */
    public static final MetadataKey<String> INPUTS = MetadataKey.single("inputs", String.class);

    private static final String BACKEND = "com.google.common.flogger.backend.system.SimpleBackendFactory#getInstance";

    private Logs() {}

    /** Sends all log records as JSON lines to standard error, where programs announce themselves on standard output. */
    public static void configure() {
        configure(System.err);
    }

    /**
     * Sends all log records as JSON lines to a stream. Called first in each {@code main}, before any logger is made.
     *
     * @param out the stream
     */
    public static void configure(PrintStream out) {
        System.setProperty("flogger.backend_factory", BACKEND);
        Logger root = LogManager.getLogManager().getLogger("");
        Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
        root.addHandler(new JsonLines(out));
        root.setLevel(level(System.getProperty("hornbeam.log.level", "info")));
        Logger.getLogger("io.activej").setLevel(Level.SEVERE);
    }

    /** Writes what has been logged so far, before the process ends. */
    public static void flush() {
        Arrays.stream(LogManager.getLogManager().getLogger("").getHandlers()).forEach(Handler::flush);
    }

    private static Level level(String name) {
        return switch (name.toLowerCase(Locale.ROOT)) {
            case "debug" -> Level.FINE;
            case "warn", "warning" -> Level.WARNING;
            case "error" -> Level.SEVERE;
            default -> Level.INFO;
        };
    }
}
