package org.hornbeamhead.core.http;

/**
 * The status line and headers of a response.
 *
 * @param status the status code
 * @param headers the headers
 * @param keepAlive whether the server keeps the connection for further requests
 */
public record ResponseHead(int status, Headers headers, boolean keepAlive) {
    private static final int OK_FROM = 200;
    private static final int OK_TO = 300;

    /**
     * Returns whether the request succeeded.
     *
     * @return true for the 2xx status codes
     */
    public boolean ok() {
        return status >= OK_FROM && status < OK_TO;
    }
}
