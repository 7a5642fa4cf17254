package org.hornbeamhead.daemon;

/** The exit codes of all programs. */
public enum ExitCode {
    /** All went well. */
    OK(0),
    /** The work failed. */
    FAILED(1),
    /** The command line or a file is wrong; every finding was printed. */
    USAGE(2),
    /** Another operator's change came first; nothing was changed. */
    OVERTAKEN(3),
    /** It could not be learned whether the change was made. */
    IN_DOUBT(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the number for the operating system.
     *
     * @return the code
     */
    public int code() {
        return code;
    }
}
