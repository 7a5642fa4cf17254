package org.hornbeamhead.core.quota;

/**
 * Whether a request is within its customer's quota, and what decided that.
 *
 * @param admitted whether the request may be sent
 * @param cost what the request counts, in units of the quota
 * @param level the level of the customer's bucket before the request, as seen by this router, in units
 * @param share the part of the quota that this router could use
 * @param hintAgeMillis the age of the oldest hint among those of the routers in contact, in milliseconds
 * @param retryAfterMillis when the bucket is expected to have enough for the request; 0 if it was admitted
 */
public record QuotaDecision(
        boolean admitted, long cost, double level, double share, long hintAgeMillis, long retryAfterMillis) {}
