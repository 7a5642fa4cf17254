package org.hornbeamhead.core.http;

/**
 * The request line and headers of a request.
 *
 * @param method the method
 * @param target the unmodified request target, a path with an optional query
 * @param headers the headers
 * @param keepAlive whether the caller may send further requests on the connection
 */
public record RequestHead(String method, String target, Headers headers, boolean keepAlive) {
    /**
     * Returns the path of the request target.
     *
     * @return the target without its query
     */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
