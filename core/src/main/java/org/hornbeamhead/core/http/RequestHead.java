package org.hornbeamhead.core.http;

/**
 * The head of a request.
 *
 * @param method the method
 * @param target the path with its query, byte for byte
 * @param headers the header lines
 * @param keepAlive whether the caller may send further requests on the connection
 */
public record RequestHead(String method, String target, Headers headers, boolean keepAlive) {
    /**
     * Returns the path.
     *
     * @return the target without its query
     */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
