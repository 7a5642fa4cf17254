package org.hornbeamhead.standin.engine;

/**
 * What a stand-in engine does wrong.
 *
 * @param silent streams open now send nothing more, new ones work
 * @param cutAfter streams are cut after so many events; negative for never
 * @param duplicate each event is sent twice
 * @param swap neighbouring events change places
 * @param crossed events say that they belong to another request
 * @param noEnd streams end without the end mark
 * @param refuse new requests are answered with 503
 */
public record EngineFaults(
        boolean silent, int cutAfter, boolean duplicate, boolean swap, boolean crossed, boolean noEnd, boolean refuse) {
    /** Nothing goes wrong. */
    public static final EngineFaults NONE = new EngineFaults(false, -1, false, false, false, false, false);
}
