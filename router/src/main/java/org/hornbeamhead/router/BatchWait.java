package org.hornbeamhead.router;

/**
 * A batch request that waits for slack.
 *
 * @param request the request
 * @param start starts it
 */
record BatchWait(ModelRequest request, Runnable start) {}
