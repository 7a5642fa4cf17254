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
 * @param crashOn the process ends soon after it begins a request whose body contains this; empty for never
 * @param requestLimit the limit that its answers state, in requests a second; empty for none
 * @param leaving its answers say that it is leaving
 * @param retryAfter the Retry-After of refusals; empty for none
 */
public record EngineFaults(
        boolean silent,
        int cutAfter,
        boolean duplicate,
        boolean swap,
        boolean crossed,
        boolean noEnd,
        boolean refuse,
        String crashOn,
        String requestLimit,
        boolean leaving,
        String retryAfter) {
    /** Nothing goes wrong. */
    public static final EngineFaults NONE =
            new EngineFaults(false, -1, false, false, false, false, false, "", "", false, "");

    /** A text that is left out is empty. */
    public EngineFaults {
        crashOn = crashOn == null ? "" : crashOn;
        requestLimit = requestLimit == null ? "" : requestLimit;
        retryAfter = retryAfter == null ? "" : retryAfter;
    }

    /**
     * Tells whether a request ends the process.
     *
     * @param body the request's body
     * @return true when the engine is to crash on it
     */
    boolean crashesOn(String body) {
        return !crashOn.isEmpty() && body.contains(crashOn);
    }
}
