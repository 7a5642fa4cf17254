package org.hornbeamhead.daemon;

import com.google.common.flogger.MetadataKey;

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

    private static final String BACKEND = "com.google.common.flogger.backend.log4j2.Log4j2BackendFactory";

    private Logs() {}

    /** Sends Flogger's lines to the JSON layout. Called first in each {@code main}, before any logger is made. */
    public static void configure() {
        System.setProperty("flogger.backend_factory", BACKEND + "#getInstance");
    }
}
