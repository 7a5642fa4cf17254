package org.hornbeamhead.daemon;

/**
 * A whole HTTP answer.
 *
 * @param status the status
 * @param body the body as text
 */
public record HttpReply(int status, String body) {
    private static final int OK_FROM = 200;
    private static final int OK_TO = 300;

    /**
     * Tells whether the call succeeded.
     *
     * @return true for the 2xx statuses
     */
    public boolean isOk() {
        return status >= OK_FROM && status < OK_TO;
    }
}
