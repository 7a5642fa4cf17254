package org.hornbeamhead.gateway.dispatch;

/**
 * The memory for responses that are buffered until they are complete. A small part of each response is always accepted,
 * so that a replica that sends without end costs no other request its response; the rest is taken from a pool.
 *
 * <p>Owned by one thread.
 */
final class ResponseBuffers {
    /** The longest response that is accepted. */
    static final int MAX_RESPONSE_BYTES = 2 << 20;
    /** The bytes of each response that are accepted whatever others hold. */
    private static final int RESERVED_BYTES = 1 << 16;
    /** The size of the pool, an eighth of the heap of a router. */
    private static final long POOL_BYTES = 8 << 20;

    private long pooled;

    /**
     * Accounts for the growth of one response.
     *
     * @param from its size before, in bytes
     * @param to its size now, in bytes
     * @return false if the response is too long, or the pool is exhausted; nothing was accounted for then
     */
    boolean grow(long from, long to) {
        long growth = pooledPart(to) - pooledPart(from);
        if (to > MAX_RESPONSE_BYTES || pooled + growth > POOL_BYTES) {
            return false;
        }
        pooled += growth;
        return true;
    }

    /** Returns the memory of a response of this size, in bytes. */
    void release(long size) {
        pooled -= pooledPart(size);
    }

    private static long pooledPart(long size) {
        return Math.max(0, size - RESERVED_BYTES);
    }
}
