package org.hornbeamhead.standin.platform;

/**
 * What the stand-in key-value service does wrong.
 *
 * @param outage every call is refused
 * @param slowMillis how long each answer is held, in milliseconds
 * @param loseShare the share of writes that take effect and are never answered
 * @param failShare the share of writes that fail without effect
 * @param staleReads reads show the value before the last write
 */
public record StoreFaults(boolean outage, long slowMillis, double loseShare, double failShare, boolean staleReads) {
    /** Nothing goes wrong. */
    public static final StoreFaults NONE = new StoreFaults(false, 0, 0, 0, false);
}
