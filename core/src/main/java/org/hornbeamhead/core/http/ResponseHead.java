package org.hornbeamhead.core.http;

/**
 * The head of a response.
 *
 * @param status the status
 * @param headers the header lines
 * @param keepAlive whether the server keeps the connection for further requests
 */
public record ResponseHead(int status, Headers headers, boolean keepAlive) {
    private static final int OK_FROM = 200;
    private static final int OK_TO = 300;

    /**
     * Tells whether the request succeeded.
     *
     * @return true for the 2xx statuses
     */
    public boolean ok() {
        return status >= OK_FROM && status < OK_TO;
    }
}
